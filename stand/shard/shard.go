// Package shard is a stand-in of searchers and callers on the users' platform:
// a searcher answers each request with records that follow from the request's id
// and its service, so that whoever knows both can check a merged answer.
//
// # Usage
//
//	s := shard.NewSearcher("desk-0", "desk", "karachi-a")
//	server := httptest.NewServer(s)
//	store.Put("servers", s.ID, s.Entry(server.Listener.Addr().String(), "ready"))
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
	// Host is the name that callers ask for.
	Host = "records.example"
	// RecordBytes is the size of a record, recordsPerReply the number of records of a
	// searcher's reply.
	RecordBytes     = 16
	recordsPerReply = 4
	// defaultSlots is the number of requests that a searcher runs at once.
	defaultSlots = 4
	// deadlineMs is how long a caller says that it waits, in milliseconds.
	deadlineMs = "1200"
)

// Searcher answers requests for one service. Fields are set before it serves.
type Searcher struct {
	ID            string
	Service       string
	FailureDomain string
	Slots         int
	// Born numbers the starts of a searcher with this id.
	Born int
}

// NewSearcher returns a searcher that has started once.
func NewSearcher(id, service, domain string) *Searcher {
	return &Searcher{ID: id, Service: service, FailureDomain: domain, Slots: defaultSlots, Born: 1}
}

// Registration is what the searcher says of itself, at an address and in a state.
func (s *Searcher) Registration(address, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,`+
		`"warmup-left-ms":0,"sequence":1,"born":%d}`, s.Service, address, s.FailureDomain, s.Slots, state, s.Born)
}

// Accept begins an answer. It returns the id of the request, and false if the
// request is for another searcher, which has been answered then.
func (s *Searcher) Accept(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return id, false
	}
	return id, true
}

// Sign proves that the searcher ran a request.
func (s *Searcher) Sign(w http.ResponseWriter, id string) {
	w.Header().Set("X-Server-Stamp", Signature(id, s.Service))
}

// ServeHTTP answers one request.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := s.Accept(w, r)
	if !ok {
		return
	}
	s.Sign(w, id)
	_, _ = w.Write(Records(id, s.Service)) // a host that went away needs no answer
}

// Signature is the proof that a searcher of a service ran a request.
func Signature(id, service string) string { return id + "." + service }

// Records returns the records of a request at a service.
func Records(id, service string) []byte {
	var records []byte
	for i := range recordsPerReply {
		records = append(records, fmt.Sprintf("%08x%08x", hash(fmt.Sprint(id, service, i)), i)...)
	}
	return records
}

// hash is the 32-bit FNV-1a hash.
func hash(s string) uint32 {
	sum := uint32(2166136261)
	for _, b := range []byte(s) {
		sum = (sum ^ uint32(b)) * 16777619
	}
	return sum
}

// Route is a route of a configuration: one to all shards if Shards is set, else
// one to a service.
type Route struct {
	Name    string
	Prefix  string
	Shards  []string
	Service string
	// NonIdempotent is set if a request must not run twice.
	NonIdempotent bool
	// TopK is the number of records of a merged answer, Coverage the least share
	// of the shards in it.
	TopK        int
	MinCoverage float64
}

// Configuration returns a version of a configuration as operators write it.
func Configuration(version int, routes ...Route) string {
	type entry = map[string]any
	var list, services []entry
	for _, r := range routes {
		e := entry{
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
				services = append(services, entry{"name": s})
			}
		}
	}
	data, err := json.Marshal(entry{"version": version, "routes": list, "services": services, "limits": entry{}})
	if err != nil {
		panic(err) // the values above can all be encoded
	}
	return string(data)
}

// Send sends a request as a caller does and returns the answer, whose body the
// caller closes.
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
