package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/pkg/search"
	"toucanpulley.example/stand/corpus"
)

// coldSlowdown is the factor by which a search takes longer at a cold searcher.
const coldSlowdown = 10

type handler struct{ searcher *Searcher }

// Search runs a query over one shard.
func (h handler) Search(ctx context.Context, r *connect.Request[search.SearchRequest]) (*connect.Response[search.SearchResponse], error) {
	s := h.searcher
	// A call occupies no slot during the network delay.
	if err := s.waitNetworkDelay(ctx, r.Peer().Addr); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	defer func() { _ = s.waitNetworkDelay(ctx, r.Peer().Addr) }()
	s.mu.Lock()
	faults, started := s.faults, s.started
	records, held := s.shards[shardKey{r.Msg.GetIndexVersion(), r.Msg.GetShard()}]
	s.mu.Unlock()
	if faults.Draining {
		return nil, s.refuse(search.RefusalReason_REFUSAL_REASON_DRAINING)
	}
	if !held {
		return nil, s.refuse(search.RefusalReason_REFUSAL_REASON_VERSION_GONE)
	}
	if s.running.Add(1) > int64(s.Slots) {
		s.running.Add(-1)
		return nil, s.refuse(search.RefusalReason_REFUSAL_REASON_SHED)
	}
	defer s.running.Add(-1)
	s.calls.Add(1)
	if faults.CrashTerm != "" && slices.ContainsFunc(r.Msg.GetTerms(), func(t *search.Term) bool {
		return t.GetValue() == faults.CrashTerm
	}) {
		s.crash()
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("searcher %s crashed", s.ID))
	}
	delay := faults.Delay + time.Duration(rand.ExpFloat64()*float64(faults.Jitter))
	if time.Since(started) < faults.ColdDuration {
		delay *= coldSlowdown
	}
	if err := sleep(ctx, delay); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	reply := Scan(r.Msg, records)
	return connect.NewResponse(s.corruptReply(reply, faults)), nil
}

// waitNetworkDelay waits for the one-way delay to a caller.
func (s *Searcher) waitNetworkDelay(ctx context.Context, remote string) error {
	if s.NetworkDelay == nil {
		return nil
	}
	return sleep(ctx, s.NetworkDelay(remote))
}

// corruptReply applies SendPreviousReply and Truncate to a reply.
func (s *Searcher) corruptReply(reply *search.SearchResponse, faults Faults) *search.SearchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previousReply
	s.previousReply = reply
	if faults.SendPreviousReply && previous != nil {
		return previous
	}
	if faults.Truncate && len(reply.GetHits()) > 0 {
		return &search.SearchResponse{
			RequestId: reply.GetRequestId(), Attempt: reply.GetAttempt(), Shard: reply.GetShard(),
			IndexVersion: reply.GetIndexVersion(), Hits: reply.GetHits()[1:], Count: reply.GetCount(),
			Matches: reply.GetMatches(), Checksum: reply.GetChecksum(),
		}
	}
	return reply
}

// Execute runs a non-idempotent request and counts the executions of its key.
func (h handler) Execute(ctx context.Context, r *connect.Request[search.ExecuteRequest]) (*connect.Response[search.ExecuteResponse], error) {
	s := h.searcher
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Draining {
		return nil, s.refuse(search.RefusalReason_REFUSAL_REASON_DRAINING)
	}
	s.executed.Add(1)
	s.mu.Lock()
	n, _ := s.executions.LoadOrStore(r.Msg.GetKey(), 0)
	s.executions.Store(r.Msg.GetKey(), n.(int)+1)
	s.mu.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&search.ExecuteResponse{
		RequestId: r.Msg.GetRequestId(), Result: fmt.Appendf(nil, "done %s at %s", r.Msg.GetKey(), s.ID),
	}), nil
}

// Health reports the load and the index versions.
func (h handler) Health(context.Context, *connect.Request[search.HealthRequest]) (*connect.Response[search.HealthResponse], error) {
	s := h.searcher
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	m := &search.HealthResponse{Slots: uint32(s.Slots), IndexVersions: s.versions()}
	if !faults.StaleHealth {
		m.Draining, m.Running = faults.Draining, uint32(max(s.running.Load(), 0))
	}
	return connect.NewResponse(m), nil
}

// refuse returns the error for a request that is refused before it starts.
func (s *Searcher) refuse(reason search.RefusalReason) error {
	s.refused.Add(1)
	err := connect.NewError(connect.CodeUnavailable, fmt.Errorf("searcher %s refused: %s", s.ID, reason))
	if d, detailErr := connect.NewErrorDetail(&search.Refusal{Reason: reason, NotStarted: true}); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Scan searches records and returns the reply. A record is a hit if every term
// matches. The score is the number of terms, so it is the same for all hits, and hits
// are ordered by id.
func Scan(r *search.SearchRequest, records []corpus.Record) *search.SearchResponse {
	reply := &search.SearchResponse{
		RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Shard: r.GetShard(), IndexVersion: r.GetIndexVersion(),
	}
	for _, rc := range records {
		if !slices.ContainsFunc(r.GetTerms(), func(t *search.Term) bool { return !rc.Matches(t.GetField(), t.GetValue()) }) {
			reply.Hits = append(reply.Hits, &search.Hit{
				RecordId: rc.ID, Score: float64(len(r.GetTerms())), Source: rc.Source,
			})
		}
	}
	reply.Matches = uint64(len(reply.GetHits()))
	slices.SortFunc(reply.Hits, func(a, b *search.Hit) int { return strings.Compare(a.GetRecordId(), b.GetRecordId()) })
	reply.Hits = reply.Hits[:min(len(reply.Hits), int(r.GetLimit()))]
	reply.Count = uint32(len(reply.Hits))
	reply.Checksum = checksum(reply.Hits)
	return reply
}

// checksum returns the checksum defined by the searcher API: the xxhash64 over the
// length-prefixed id, the score and the length-prefixed source of each hit.
func checksum(hits []*search.Hit) uint64 {
	d := xxhash.New()
	writeField := func(b []byte) {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(b))))
		_, _ = d.Write(b)
	}
	for _, h := range hits {
		writeField([]byte(h.GetRecordId()))
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(h.GetScore())))
		writeField(h.GetSource())
	}
	return d.Sum64()
}
