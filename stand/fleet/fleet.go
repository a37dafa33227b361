package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"toucanpulley.example/stand/corpus"
)

// Plan describes how the records of one service are distributed over searchers.
type Plan struct {
	Service string
	// Shards is the number of contiguous record ranges.
	Shards int
	// Replicas is the number of searchers that hold each shard.
	Replicas      int
	Slots         int
	ConnectionCap int
	ConnectCost   time.Duration
	// NetworkDelay returns the one-way delay between a failure domain and a caller's
	// address. Nil adds no delay.
	NetworkDelay func(domain, remote string) time.Duration
	// FailureDomains are assigned to the replicas of a shard in round-robin order.
	FailureDomains []string
	// TLS returns the TLS configuration of a searcher by id. If nil, searchers serve
	// without TLS.
	TLS func(id string) (*tls.Config, error)
}

// Shard is a contiguous range of records and the searchers that hold it.
type Shard struct {
	ID       string
	Records  []corpus.Record
	Replicas []*Searcher
}

// Fleet is the set of running searchers of one service.
type Fleet struct {
	Plan      Plan
	Shards    []Shard
	Searchers []*Searcher
	// Addresses and Domains are keyed by searcher id.
	Addresses map[string]string
	Domains   map[string]string

	goroutines sync.WaitGroup
}

// Start starts searchers on loopback that serve the records as an index version.
func Start(ctx context.Context, p Plan, version uint64, records []corpus.Record) (*Fleet, error) {
	f := &Fleet{Plan: p, Addresses: map[string]string{}, Domains: map[string]string{}}
	for i := range p.Shards {
		from, to := i*len(records)/p.Shards, (i+1)*len(records)/p.Shards
		shard := Shard{ID: fmt.Sprintf("%s-%02d", p.Service, i), Records: records[from:to]}
		for j := range p.Replicas {
			s := NewSearcher(fmt.Sprintf("%s-%02d-%d", p.Service, i, j), p.Slots)
			s.ConnectionCap, s.ConnectCost = p.ConnectionCap, p.ConnectCost
			s.Load(version, shard.ID, shard.Records)
			domain := p.FailureDomains[(i+j)%len(p.FailureDomains)]
			if p.NetworkDelay != nil {
				s.NetworkDelay = func(remote string) time.Duration { return p.NetworkDelay(domain, remote) }
			}
			if err := f.serve(ctx, s, domain); err != nil {
				_ = f.Close()
				return nil, err
			}
			shard.Replicas = append(shard.Replicas, s)
		}
		f.Shards = append(f.Shards, shard)
	}
	return f, nil
}

func (f *Fleet) serve(ctx context.Context, s *Searcher, domain string) error {
	if f.Plan.TLS != nil {
		config, err := f.Plan.TLS(s.ID)
		if err != nil {
			return fmt.Errorf("create TLS configuration of searcher %s: %w", s.ID, err)
		}
		s.TLS = config
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for searcher %s: %w", s.ID, err)
	}
	f.Searchers = append(f.Searchers, s)
	f.Addresses[s.ID], f.Domains[s.ID] = l.Addr().String(), domain
	f.goroutines.Go(func() { _ = s.Serve(l) })
	return nil
}

// Close stops all searchers and waits until they have ended.
func (f *Fleet) Close() error {
	for _, s := range f.Searchers {
		_ = s.Close()
	}
	f.goroutines.Wait()
	return nil
}
