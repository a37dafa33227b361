// Package shard provides stand-ins for searchers and callers on the users' platform.
// A searcher derives the records of a reply from the request id and its service, so
// tests can compute the expected merged answer.
//
// # Usage
//
//	s := shard.NewSearcher("desk-0", "desk", "karachi-a")
//	server := httptest.NewServer(s)
//	store.Put("servers", s.ID, s.Registration(server.Listener.Addr().String(), "ready"))
//	answer, err := shard.Send(ctx, client, entryAddress, "/all/q", "r1", false)
package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

const (
	// Host is the value of the Host header of requests.
	Host = "records.example"
	// RecordBytes is the size of a record.
	RecordBytes = 16
	// recordsPerReply is the number of records in a searcher's reply.
	recordsPerReply = 4
	// defaultSlots is the default number of concurrent requests of a searcher.
	defaultSlots = 4
	// deadlineMs is the time budget in callers' requests, in milliseconds.
	deadlineMs = "1200"
)

// Searcher is a stand-in for a searcher of one service. ID and Service must be set before
// it serves.
type Searcher struct {
	ID            string
	Service       string
	FailureDomain string
	Slots         int
	// Incarnation identifies the process of the searcher. It grows with each restart and
	// is the field born of a registration.
	Incarnation int
}

// NewSearcher returns a searcher in its first incarnation.
func NewSearcher(id, service, domain string) *Searcher {
	return &Searcher{ID: id, Service: service, FailureDomain: domain, Slots: defaultSlots, Incarnation: 1}
}

// Registration returns the searcher's registration as JSON, with an address and a
// state.
func (s *Searcher) Registration(address, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,`+
		`"warmup-left-ms":0,"sequence":1,"born":%d}`, s.Service, address, s.FailureDomain, s.Slots, state, s.Incarnation)
}

// Accept sets the request id of the reply and returns it. If the request is addressed
// to another searcher, Accept responds with status 421 and returns false.
func (s *Searcher) Accept(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return id, false
	}
	return id, true
}

// Sign sets the header that contains the signature of the reply.
func (s *Searcher) Sign(w http.ResponseWriter, id string) {
	w.Header().Set("X-Server-Stamp", Signature(id, s.Service))
}

// ServeHTTP replies with the records of the request.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := s.Accept(w, r)
	if !ok {
		return
	}
	s.Sign(w, id)
	_, _ = w.Write(Records(id, s.Service)) // fails if the host has closed the connection
}

// Signature returns the signature of a service's reply to a request.
func Signature(id, service string) string { return id + "." + service }

// Records returns the records of a service's reply to a request.
func Records(id, service string) []byte {
	var records []byte
	for i := range recordsPerReply {
		records = append(records, fmt.Sprintf("%08x%08x", hash(fmt.Sprint(id, service, i)), i)...)
	}
	return records
}

// hash is the 32-bit FNV-1a hash.
func hash(s string) uint32 {
	const offsetBasis, prime = 2166136261, 16777619
	sum := uint32(offsetBasis)
	for _, b := range []byte(s) {
		sum = (sum ^ uint32(b)) * prime
	}
	return sum
}

// Route is a route of a configuration. It scatters a request to the services in Shards
// if set, and sends it to Service otherwise.
type Route struct {
	Name    string
	Prefix  string
	Shards  []string
	Service string
	// NonIdempotent is set if a request must not run more than once.
	NonIdempotent bool
	// TopK is the maximum number of records in a merged answer, MinCoverage the minimum
	// share of shards in it.
	TopK        int
	MinCoverage float64
	// ConnectionCap is the number of connections that each searcher takes from all
	// hosts; zero if it has no limit.
	ConnectionCap int
}

// Configuration returns a configuration in the JSON form that operators write.
func Configuration(version int, routes ...Route) string {
	type jsonObject = map[string]any
	var list, services []jsonObject
	for _, r := range routes {
		e := jsonObject{
			"name": r.Name, "host": Host, "path-prefix": r.Prefix, "kind": "safe", "timeout-ms": 1500,
			"target-latency-ms": 250, "max-attempts": 2,
		}
		if r.NonIdempotent {
			e["kind"] = "unsafe"
		}
		if len(r.Shards) > 0 {
			e["gather"], e["top-k"], e["min-coverage"] = r.Shards, r.TopK, r.MinCoverage
		} else {
			e["service"] = r.Service
		}
		list = append(list, e)
		for _, s := range append([]string{r.Service}, r.Shards...) {
			if s != "" {
				services = append(services, jsonObject{"name": s, "max-connections": r.ConnectionCap})
			}
		}
	}
	data, err := json.Marshal(jsonObject{"version": version, "routes": list, "services": services, "limits": jsonObject{}})
	if err != nil {
		panic(err) // unreachable: all values above can be encoded
	}
	return string(data)
}

// Send sends a caller's request and returns the response. The body must be closed by
// the caller of Send.
func Send(ctx context.Context, client *http.Client, address, path, id string, nonIdempotent bool) (*http.Response, error) {
	method := http.MethodGet
	if nonIdempotent {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(""))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", deadlineMs)
	return client.Do(r)
}
