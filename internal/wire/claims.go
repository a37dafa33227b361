package wire

import (
	"fmt"
	"time"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// ClaimsName returns the name of the object that holds a partition of claims.
func ClaimsName(n claim.PartitionNumber) string { return fmt.Sprintf("claims/%02d", n) }

// PartitionDocument is the JSON form of the object claims/<partition>.
type PartitionDocument struct {
	// FloorMs is in milliseconds since the Unix epoch; 0 until claims are
	// dropped for the first time.
	FloorMs int64           `json:"floorMs"`
	Claims  []ClaimDocument `json:"claims"`
}

// ClaimDocument is the JSON form of a claim. Times are in milliseconds since
// the Unix epoch.
type ClaimDocument struct {
	Account  string `json:"account"`
	Service  string `json:"service"`
	Key      string `json:"key"`
	Nonce    string `json:"nonce"`
	Owner    string `json:"owner"`
	IssuedMs int64  `json:"issuedMs"`
	UntilMs  int64  `json:"untilMs"`
	BodyHash uint64 `json:"body,string"`
	State    string `json:"state"`
	Result   []byte `json:"result,omitempty"`
}

var claimStates = []string{claim.Held: "held", claim.Done: "done", claim.Oversize: "oversize", claim.Unknown: "unknown"}

// EncodePartition returns the value of a claims object.
func EncodePartition(p claim.Partition) []byte {
	doc := PartitionDocument{Claims: []ClaimDocument{}}
	if !p.Floor.IsZero() {
		doc.FloorMs = p.Floor.UnixMilli()
	}
	for _, c := range p.Claims() {
		doc.Claims = append(doc.Claims, encodeClaim(c))
	}
	return EncodeJSON(doc)
}

func encodeClaim(c claim.Claim) ClaimDocument {
	return ClaimDocument{
		Account: string(c.Key.Account), Service: string(c.Key.Service), Key: c.Key.Name,
		Nonce: string(c.Nonce), Owner: string(c.Owner), IssuedMs: c.Issued.UnixMilli(),
		UntilMs: c.Until.UnixMilli(), BodyHash: c.BodyHash, State: claimStates[c.State], Result: c.Result,
	}
}

// ClaimSize returns the encoded size of a claim in bytes.
func ClaimSize(c claim.Claim) int { return len(EncodeJSON(encodeClaim(c))) + len(",") }

// DecodePartition decodes the value of a claims object.
func DecodePartition(n claim.PartitionNumber, version uint64, value []byte) (claim.Partition, error) {
	var doc PartitionDocument
	if err := decodeStrict(value, &doc); err != nil {
		return claim.Partition{}, fault.Wrap(err, "decode claims", ClaimsName(n))
	}
	var floor time.Time
	if doc.FloorMs != 0 {
		floor = time.UnixMilli(doc.FloorMs)
	}
	claims := make([]claim.Claim, 0, len(doc.Claims))
	for _, d := range doc.Claims {
		c, err := decodeClaim(n, d)
		if err != nil {
			return claim.Partition{}, err
		}
		claims = append(claims, c.WithSize(ClaimSize(c)))
	}
	return claim.NewPartition(n, version, floor, claims...), nil
}

func decodeClaim(n claim.PartitionNumber, d ClaimDocument) (claim.Claim, error) {
	c := claim.Claim{
		Key:   claim.Key{Account: model.ClientAccount(d.Account), Service: model.ServiceName(d.Service), Name: d.Key},
		Nonce: model.RequestID(d.Nonce), Owner: model.HostID(d.Owner), Issued: time.UnixMilli(d.IssuedMs),
		Until: time.UnixMilli(d.UntilMs), BodyHash: d.BodyHash, Result: d.Result,
	}
	for s, name := range claimStates {
		if name == d.State {
			c.State = claim.State(s)
			return c, nil
		}
	}
	return c, fault.New("decode claims", ClaimsName(n), "claim %q has the unknown state %q", d.Key, d.State)
}
