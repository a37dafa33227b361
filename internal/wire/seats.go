package wire

import (
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// maxSeats is the maximum number of seats of a service: the sum of the maximum
// values of the settings subset and spare, 64 each.
const maxSeats = 128

// SeatsDocument is the JSON form of the object seats/<service>.
type SeatsDocument struct {
	Seats []SeatDocument `json:"seats"`
}

// SeatDocument is the JSON form of a seat.
type SeatDocument struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       uint64 `json:"nonce"`
	Renewal     uint64 `json:"renewal"`
	Divisor     int    `json:"divisor"`
	LeaseMs     int64  `json:"leaseMs"`
}

// DecodeSeats decodes the value of a seats object.
func DecodeSeats(service model.ServiceName, version uint64, value []byte) (model.Seats, error) {
	var doc SeatsDocument
	if err := decodeStrict(value, &doc); err != nil {
		return model.Seats{}, fault.Wrap(err, "decode seats", string(service))
	}
	if len(doc.Seats) > maxSeats {
		return model.Seats{}, fault.New("decode seats", string(service), "%d rows are not allowed; allowed: up to %d", len(doc.Seats), maxSeats)
	}
	s := model.Seats{Service: service, Version: version}
	nonces := map[uint64]bool{}
	for _, d := range doc.Seats {
		if d.Host == "" || d.Divisor < 1 || d.LeaseMs < 1 || nonces[d.Nonce] {
			return model.Seats{}, fault.New("decode seats", string(service),
				"seat of host %q needs a host, a unique nonce, a divisor and leaseMs of at least 1", d.Host)
		}
		nonces[d.Nonce] = true
		s.Rows = append(s.Rows, model.Seat{
			Holder: model.HostID(d.Host), Incarnation: d.Incarnation, Nonce: d.Nonce, Renewal: d.Renewal,
			Divisor: d.Divisor, Lease: time.Duration(d.LeaseMs) * time.Millisecond,
		})
	}
	return s, nil
}

// EncodeSeats returns the value of a seats object.
func EncodeSeats(s model.Seats) []byte {
	doc := SeatsDocument{Seats: make([]SeatDocument, 0, len(s.Rows))}
	for _, r := range s.Rows {
		doc.Seats = append(doc.Seats, SeatDocument{
			Host: string(r.Holder), Incarnation: r.Incarnation, Nonce: r.Nonce, Renewal: r.Renewal,
			Divisor: r.Divisor, LeaseMs: r.Lease.Milliseconds(),
		})
	}
	return EncodeJSON(doc)
}
