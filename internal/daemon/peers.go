package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/link"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/wire"
)

const (
	// pullTimeout limits a pull or a fetch of members.
	pullTimeout = 2 * time.Second
	// pushTimeout limits a push. A lost push needs no retry, because the next
	// probe also carries the gossip.
	pushTimeout = 500 * time.Millisecond
	// maxQueuedReports is the capacity of the queue of lane reports.
	maxQueuedReports = 1024
)

// timedDigest is a digest with its creation time.
type timedDigest struct {
	digest spread.Digest
	at     time.Time
}

// current returns the digest with its known ages advanced to the current time.
// Unknown ages are negative.
func (t timedDigest) current() spread.Digest {
	d, elapsed := t.digest, time.Since(t.at).Milliseconds()
	if d.PlatformAge >= 0 {
		d.PlatformAge += elapsed
	}
	if d.SettingsAge >= 0 {
		d.SettingsAge += elapsed
	}
	if d.FleetAge >= 0 {
		d.FleetAge += elapsed
	}
	return d
}

// peerTransport makes the calls of the control loop to other daemons and serves
// their calls.
type peerTransport struct {
	pool   *link.Pool
	server *link.Server
	send   func(ctrl.Event) bool
	log    hclog.Logger
	meter  *meter.Meter
	self   model.HostID

	// bundle holds the settings and index objects that are served to pulls.
	bundle atomic.Pointer[spread.Bundle]
	// digest is sent in responses to pulls.
	digest atomic.Pointer[timedDigest]

	// reports is the queue of reports from lanes to the control loop. A lane must
	// never block on the control loop, because the control loop blocks on lanes
	// when it sends them a view.
	reports chan ctrl.Event

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	lastID atomic.Uint64
	mu     sync.Mutex
	// waiting maps the IDs of queries to the channels that receive their answers.
	waiting map[uint64]chan ctrl.Command
	// expected maps peer addresses to the hosts that are being called there.
	expected map[model.Address][]model.HostID
}

func newPeerTransport(self model.HostID, m *meter.Meter, log hclog.Logger) *peerTransport {
	p := &peerTransport{
		pool: link.NewPool(), server: link.NewServer(), log: log, meter: m, self: self,
		reports: make(chan ctrl.Event, maxQueuedReports), waiting: map[uint64]chan ctrl.Command{},
		expected: map[model.Address][]model.HostID{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.bundle.Store(&spread.Bundle{})
	p.digest.Store(&timedDigest{digest: spread.Digest{PlatformAge: -1, SettingsAge: -1, FleetAge: -1}, at: time.Now()})
	p.server.Probe, p.server.Push, p.server.Pull, p.server.Members = p.handleProbe, p.handlePush, p.handlePull, p.handleMembers
	p.server.Log = func(err error) { log.Debug("peer connection ended", "error", err) }
	p.pool.Log = p.server.Log
	return p
}

// currentBundle returns the bundle that is served to pulls.
func (p *peerTransport) currentBundle() spread.Bundle { return *p.bundle.Load() }

// run serves peers on a listener and forwards reports to the control loop until
// close is called.
func (p *peerTransport) run(listener net.Listener) {
	p.calls.Go(p.forwardReports)
	if err := p.server.Serve(listener); err != nil {
		p.log.Error("listener failed", "step", "serve peers", "error", err)
	}
}

// close cancels all calls and waits for them to return. The control loop must be
// closed first, so that it starts no new calls.
func (p *peerTransport) close() {
	p.cancel()
	_ = p.server.Close()
	_ = p.pool.Close()
	p.calls.Wait()
}

// report queues a lane's report for the control loop. It never blocks: if the
// queue is full, it drops the report.
func (p *peerTransport) report(r ctrl.Event) {
	select {
	case p.reports <- r:
	default:
		p.meter.Count("report", "dropped")
	}
}

func (p *peerTransport) forwardReports() {
	for {
		select {
		case r := <-p.reports:
			p.send(r)
		case <-p.ctx.Done():
			return
		}
	}
}

// execute runs the commands that concern peers and ignores all others.
func (p *peerTransport) execute(c ctrl.Command) {
	switch c := c.(type) {
	case ctrl.ServeBundle:
		p.bundle.Store(&c.Bundle)
	case ctrl.MemberChanged:
		p.log.Info("member changed", "host", c.Member.Host.ID, "failureDomain", c.Member.Host.FailureDomain,
			"state", c.Member.State.String(), "former", c.Previous.State.String(), "ready", c.Member.Ready,
			"incarnation", c.Member.Incarnation)
	case ctrl.SendProbe:
		p.calls.Go(func() { p.sendProbe(c) })
	case ctrl.AnswerProbe:
		p.storeDigest(c.Gossip)
		p.deliver(c.ID, c)
	case ctrl.AnswerMembers:
		p.deliver(c.ID, c)
	case ctrl.FetchMembers:
		p.calls.Go(func() { p.fetchMembers(c) })
	case ctrl.PushTo:
		p.storeDigest(c.Gossip)
		p.calls.Go(func() { p.sendPush(c) })
	case ctrl.PullFrom:
		p.calls.Go(func() { p.sendPull(c) })
	}
}

// storeDigest stores the digest of this host with the current time.
func (p *peerTransport) storeDigest(g ctrl.Gossip) {
	p.digest.Store(&timedDigest{digest: g.Digest, at: time.Now()})
}

func (p *peerTransport) sendProbe(c ctrl.SendProbe) {
	defer p.expectHost(c.To)()
	timeout := member.DefaultProbeTimeout
	if c.Target != "" {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	r, err := p.pool.Probe(ctx, c.To.Peer, &peer.ProbeRequest{Gossip: wire.EncodeGossip(c.Gossip), Target: string(c.Target)})
	if err != nil {
		p.meter.Count("peer", "probeFailed")
		p.log.Debug("peer call failed", "step", "probe peer", "peer", c.To.Peer, "error", err)
		p.send(ctrl.MemberEvent{Event: member.ProbeFailed{ID: c.ID}})
		return
	}
	p.send(ctrl.Acked{ID: c.ID, Reached: r.GetReached(), Gossip: wire.DecodeGossip(r.GetGossip())})
}

func (p *peerTransport) sendPush(c ctrl.PushTo) {
	ctx, cancel := context.WithTimeout(p.ctx, pushTimeout)
	defer cancel()
	if _, err := p.pool.Push(ctx, c.Peer.Peer, &peer.PushRequest{Gossip: wire.EncodeGossip(c.Gossip)}); err != nil {
		p.meter.Count("peer", "pushFailed")
		p.log.Debug("peer call failed", "step", "push to peer", "peer", c.Peer.Peer, "error", err)
		p.send(ctrl.MemberEvent{Event: member.CallFailed{Host: c.Peer.ID}})
	}
}

func (p *peerTransport) fetchMembers(c ctrl.FetchMembers) {
	defer p.expectHost(c.From)()
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	r, err := p.pool.Members(ctx, c.From.Peer, &peer.MembersRequest{Sender: wire.EncodeMember(c.Self)})
	if err != nil {
		p.meter.Count("peer", "fetchFailed")
		p.log.Debug("peer call failed", "step", "fetch members", "peer", c.From.Peer, "error", err)
		return
	}
	p.send(ctrl.MemberEvent{Event: member.MembersReceived{
		From: model.HostID(r.GetSender()), Members: wire.DecodeMembers(r.GetMembers()),
	}})
}

// sendPull pulls the objects from a peer that are newer than those of this host.
func (p *peerTransport) sendPull(c ctrl.PullFrom) {
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	loaded, err := p.loadFrom(ctx, c.Peer)
	if err != nil {
		p.meter.Count("peer", "pullFailed")
		p.log.Debug("peer call failed", "step", "pull from peer", "peer", c.Peer.Peer, "error", err)
		p.send(ctrl.SpreadEvent{Event: spread.LoadFailed{From: c.Peer.ID, Reason: err.Error()}})
		return
	}
	loaded.StartedAt = c.StartedAt
	p.send(ctrl.SpreadEvent{Event: loaded})
}

func (p *peerTransport) loadFrom(ctx context.Context, from model.Host) (spread.ObjectsLoaded, error) {
	base := p.currentBundle()
	request := &peer.PullRequest{
		Sender: string(p.self), SettingsRevision: uint64(base.Revision),
		IndexVersion: base.IndexVersion, LeavingStamp: base.Leaving.Stamp,
	}
	r, err := p.pool.Pull(ctx, from.Peer, request)
	if err != nil {
		return spread.ObjectsLoaded{}, err
	}
	received := map[string][]byte{}
	for _, o := range r.GetSegments() {
		received[o.GetName()] = o.GetValue()
	}
	var head spread.Object
	if r.GetHead() != nil {
		head = wire.DecodeObjects([]*peer.Object{r.GetHead()})[0]
	}
	l := loader{base: base, log: p.log, fetch: func(ctx context.Context, names []string) (map[string][]byte, error) {
		return p.fetchSegments(ctx, from, names)
	}}
	b, t, err := l.load(ctx, head, received, wire.DecodeObjects(r.GetIndexes()))
	if err != nil {
		return spread.ObjectsLoaded{}, fault.Wrap(err, "load objects of peer", string(from.Peer))
	}
	if r.GetLeaving() != nil {
		b = b.WithLeaving(wire.DecodeLeaving(r.GetLeaving()))
	}
	return spread.ObjectsLoaded{From: from.ID, Bundle: b, Tree: t, Digest: wire.DecodeDigest(r.GetDigest())}, nil
}

func (p *peerTransport) fetchSegments(ctx context.Context, from model.Host, names []string) (map[string][]byte, error) {
	r, err := p.pool.Pull(ctx, from.Peer, &peer.PullRequest{Sender: string(p.self), Want: names})
	if err != nil {
		return nil, err
	}
	values := map[string][]byte{}
	for _, o := range r.GetSegments() {
		values[o.GetName()] = o.GetValue()
	}
	return values, nil
}

// queryControl sends an event with a new ID to the control loop and waits for the
// command that answers it.
func (p *peerTransport) queryControl(ctx context.Context, event func(id uint64) ctrl.Event) (ctrl.Command, error) {
	id, answer := p.lastID.Add(1), make(chan ctrl.Command, 1)
	p.mu.Lock()
	p.waiting[id] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, id)
	}()
	if !p.send(event(id)) {
		return nil, errors.New("the host is shutting down")
	}
	select {
	case c := <-answer:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errors.New("the host is shutting down")
	}
}

// deliver sends a command to the goroutine that waits for the ID, if any.
func (p *peerTransport) deliver(id uint64, c ctrl.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		ch <- c
	}
}

func (p *peerTransport) handleProbe(ctx context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	c, err := p.queryControl(ctx, func(id uint64) ctrl.Event {
		return ctrl.Probed{ID: id, Target: model.HostID(m.GetTarget()), Gossip: wire.DecodeGossip(m.GetGossip())}
	})
	if err != nil {
		return nil, err
	}
	a, ok := c.(ctrl.AnswerProbe)
	if !ok {
		return nil, errors.New("probe got an answer of another kind")
	}
	return &peer.ProbeResponse{Gossip: wire.EncodeGossip(a.Gossip), Reached: a.Reached}, nil
}

func (p *peerTransport) handlePush(_ context.Context, m *peer.PushRequest) (*peer.PushResponse, error) {
	p.send(ctrl.Pushed{Gossip: wire.DecodeGossip(m.GetGossip())})
	return &peer.PushResponse{}, nil
}

// handlePull serves a pull from the current bundle. It bypasses the control loop,
// because the bundle is immutable and may be large.
func (p *peerTransport) handlePull(_ context.Context, m *peer.PullRequest) (*peer.PullResponse, error) {
	b, d := p.currentBundle(), p.digest.Load().current()
	d.Revision, d.IndexVersion, d.LeavingStamp = b.Revision, b.IndexVersion, b.Leaving.Stamp
	return wire.PullResponse(b, d, m), nil
}

func (p *peerTransport) handleMembers(ctx context.Context, m *peer.MembersRequest) (*peer.MembersResponse, error) {
	c, err := p.queryControl(ctx, func(id uint64) ctrl.Event {
		return ctrl.MemberEvent{Event: member.MembersRequested{ID: id, From: wire.DecodeMember(m.GetSender())}}
	})
	if err != nil {
		return nil, err
	}
	a, ok := c.(ctrl.AnswerMembers)
	if !ok {
		return nil, errors.New("fetch of members got an answer of another kind")
	}
	return &peer.MembersResponse{Sender: string(p.self), Members: wire.EncodeMembers(a.Members)}, nil
}
