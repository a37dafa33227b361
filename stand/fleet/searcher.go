// Package fleet provides stand-ins for searchers. They serve the searcher API, hold
// several index versions, and can be made to respond slowly, drain, shed, crash and
// send wrong replies.
//
// # Usage
//
//	s := fleet.NewSearcher("n1", 2)
//	s.Load(7, "shard-0", records)
//	s.SetFaults(fleet.Faults{Delay: 10 * time.Millisecond})
//	go s.Serve(listener)
package fleet

import (
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/pkg/search"
	"toucanpulley.example/stand/corpus"
)

// Faults are the faults injected into a searcher. The zero value injects none.
type Faults struct {
	// Delay is the service time of each search.
	Delay time.Duration
	// Jitter is the mean of an exponentially distributed addition to Delay.
	Jitter time.Duration
	// ColdDuration is the time after the start of Serve during which searches take ten
	// times as long.
	ColdDuration time.Duration
	// Draining refuses new searches and is reported by the health endpoint.
	Draining bool
	// Truncate removes the first hit from each reply without changing its count.
	Truncate bool
	// SendPreviousReply answers each search with the reply of the previous search.
	SendPreviousReply bool
	// CrashTerm closes the listener and all connections when a search has a term with
	// this value.
	CrashTerm string
	// StaleHealth makes the health endpoint report an idle searcher regardless of its
	// state.
	StaleHealth bool
}

// compressMinBytes is the size from which replies are compressed. For smaller ones,
// compression costs more CPU time than it saves.
const compressMinBytes = 4 << 10

type shardKey struct {
	version uint64
	shard   string
}

// Searcher is a stand-in for one backend server. The exported fields must be set
// before Serve is called.
type Searcher struct {
	ID string
	// Slots is the number of concurrent searches; further ones are shed.
	Slots int
	// ConnectionCap is the maximum number of open connections; 0 for no limit.
	ConnectionCap int
	// ConnectCost delays each new connection.
	ConnectCost time.Duration
	// TLS is the TLS configuration. If nil, the searcher serves without TLS.
	TLS *tls.Config
	// NetworkDelay returns the one-way network delay to a caller's address. It is
	// simulated because loopback has none; nil adds no delay.
	NetworkDelay func(remote string) time.Duration

	mu            sync.Mutex
	shards        map[shardKey][]corpus.Record
	faults        Faults
	previousReply *search.SearchResponse
	started       time.Time
	server        *http.Server

	running     atomic.Int64
	calls       atomic.Int64
	executed    atomic.Int64
	executions  sync.Map // numbers of executions by key
	openConns   atomic.Int64
	maxConns    atomic.Int64
	openedConns atomic.Int64
	crashes     atomic.Int64
	refused     atomic.Int64
}

// NewSearcher returns a searcher without shards.
func NewSearcher(id string, slots int) *Searcher {
	return &Searcher{ID: id, Slots: slots, shards: map[shardKey][]corpus.Record{}}
}

// Load adds a shard of an index version.
func (s *Searcher) Load(version uint64, shard string, records []corpus.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[shardKey{version, shard}] = records
}

// Unload removes all shards of an index version.
func (s *Searcher) Unload(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.shards {
		if k.version == version {
			delete(s.shards, k)
		}
	}
}

// SetFaults replaces the faults.
func (s *Searcher) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats holds counts since the searcher was created.
type Stats struct {
	// Calls is the number of admitted searches, Executed the number of executions of
	// non-idempotent requests, Refused the number of requests refused before they
	// started, and Crashes the number of crashes caused by CrashTerm.
	Calls, Executed, Refused, Crashes int64
	// Connections is the number of open connections, MaxConnections its maximum so far,
	// and OpenedConnections the number of all connections ever opened.
	Connections, MaxConnections, OpenedConnections int64
}

// Stats returns the counts so far.
func (s *Searcher) Stats() Stats {
	return Stats{
		Calls: s.calls.Load(), Executed: s.executed.Load(), Refused: s.refused.Load(),
		Crashes: s.crashes.Load(), Connections: s.openConns.Load(),
		MaxConnections: s.maxConns.Load(), OpenedConnections: s.openedConns.Load(),
	}
}

// Executions returns the number of executions of a key.
func (s *Searcher) Executions(key string) int {
	if n, ok := s.executions.Load(key); ok {
		return n.(int)
	}
	return 0
}

// Serve serves on a listener until Close or a crash. It may be called again afterwards
// with a new listener.
func (s *Searcher) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(search.NewSearcherServiceHandler(handler{s}, connect.WithCompressMinBytes(compressMinBytes)))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ConnState: s.connState, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.server, s.started = server, time.Now()
	s.mu.Unlock()
	if s.TLS != nil {
		protocols.SetHTTP2(true)
		server.TLSConfig = s.TLS
		return server.ServeTLS(l, "", "")
	}
	return server.Serve(l)
}

// connState counts connections, closes those above the cap and delays new ones.
func (s *Searcher) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openedConns.Add(1)
		n := s.openConns.Add(1)
		for peak := s.maxConns.Load(); n > peak && !s.maxConns.CompareAndSwap(peak, n); {
			peak = s.maxConns.Load()
		}
		if s.ConnectionCap > 0 && n > int64(s.ConnectionCap) {
			_ = c.Close()
			return
		}
		time.Sleep(s.ConnectCost)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Close stops the searcher and closes all connections.
func (s *Searcher) Close() error {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Close()
}

// crash stops the searcher without a reply to running searches, as a killed process
// would.
func (s *Searcher) crash() {
	s.crashes.Add(1)
	_ = s.Close()
}

// versions returns the index versions that the searcher holds.
func (s *Searcher) versions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions []uint64
	for k := range s.shards {
		if !slices.Contains(versions, k.version) {
			versions = append(versions, k.version)
		}
	}
	slices.Sort(versions)
	return versions
}
