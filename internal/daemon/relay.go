package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/conns"
	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/wire"
)

// Source is where beliefs come from. Each function returns the event that tells
// the result, feed.Failed if there is none.
type Source struct {
	Read  func(context.Context, feed.Topic) feed.Event
	Watch func(ctx context.Context, t feed.Topic, after uint64) feed.Event
	// Announce makes this host known for first contact.
	Announce func(context.Context, model.Host) error
}

const (
	// announceRetry is the pause before this host is announced again after a
	// failure, announceTries the number of attempts; peers learn of it by probes
	// as well.
	announceRetry = 2 * time.Second
	announceTries = 5
)

// Relay is the daemon of an entry host that relays requests by routes. Exported
// fields are set before Run.
type Relay struct {
	Self model.Host
	// Seeds are peer addresses for first contact; Seed is set if this host is one.
	Seeds []model.Address
	Seed  bool
	// Bounds are the limits of the deployment.
	Bounds relay.RetryBudget
	Source Source
	Codec  conns.Codec
	Log    hclog.Logger
	Meter  *meter.Meter

	view    atomic.Pointer[relay.View]
	control *tick.Loop[ctrl.Event, ctrl.Command]
	peers   *peers
	lane    *relayLane
	pool    *conns.Pool
	asked   *questions[ctrl.Status]
	handles atomic.Uint64
	wait    sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	started chan struct{}
}

// NewRelay returns a daemon for a host.
func NewRelay(self model.Host) *Relay {
	r := &Relay{
		Self: self, Log: hclog.NewNullLogger(), Meter: meter.New(), started: make(chan struct{}),
		asked: newQuestions[ctrl.Status]("read control status"),
	}
	r.view.Store(&relay.View{HostCount: 1})
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// View returns the view in force.
func (r *Relay) View() relay.View { return *r.view.Load() }

// Run starts all loops and answers peers until Close. It returns an error if
// the listener for peers cannot be opened.
func (r *Relay) Run() error {
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp", string(r.Self.Peer))
	if err != nil {
		return fault.Wrap(err, "listen for peers", string(r.Self.Peer))
	}
	r.build()
	ctx := context.Background()
	r.wait.Go(func() { _ = r.lane.loop.Run(ctx) })
	r.wait.Go(func() { _ = r.control.Run(ctx) })
	r.wait.Go(func() { r.peers.run(listener) })
	close(r.started)
	// The first tick asks for everything that is not known.
	r.control.Send(ctrl.FeedEvent{Event: nil})
	<-r.ctx.Done()
	return nil
}

// Started is closed once requests are taken.
func (r *Relay) Started() <-chan struct{} { return r.started }

func (r *Relay) build() {
	r.pool = conns.NewPool(r.Codec)
	r.pool.OnOpened = func(model.SearcherID) { r.Meter.Count("connection", "opened") }
	r.pool.OnUnsent = func(c relay.StartCall) {
		r.Meter.Count("call", "unsent")
		r.Log.Info("call was cancelled before it had a connection", "request", c.Request, "searcher", c.Searcher.ID)
	}
	world := relay.NewWorld(r.Self.ID, r.Self.FailureDomain)
	world.RetryBudget = r.Bounds
	r.lane = newRelayLane(world, r.pool, r.Meter, r.Log)
	r.pool.OnResult = func(e relay.Event) { r.lane.loop.Send(e) }
	control := ctrl.NewRelay(r.Self, uint64(time.Now().UnixMilli()))
	control.Member.Seeds, control.Seed = r.Seeds, r.Seed
	control.Feed.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.control = tick.NewLoop[ctrl.Event, ctrl.Command](control, r.execute)
	r.peers = newPeers(r.Self.ID, r.Meter, r.Log)
	r.peers.send = r.control.Send
	r.peers.server.Pull = r.answerPull
	r.lane.report = r.peers.report
}

// announce makes this host known until it worked or was tried often enough.
func (r *Relay) announce() {
	for range announceTries {
		err := r.Source.Announce(r.ctx, r.Self)
		if err == nil {
			return
		}
		r.Log.Warn("host was not announced; trying again", "error", err)
		select {
		case <-time.After(announceRetry):
		case <-r.ctx.Done():
			return
		}
	}
}

// execute carries out a command of control.
func (r *Relay) execute(c ctrl.Command) {
	switch c := c.(type) {
	case ctrl.PublishRelay:
		r.view.Store(&c.View)
		r.lane.loop.Send(relay.ViewChanged{View: c.View})
		r.Meter.Set("configuration", "version", int64(c.View.Configuration.Version))
		r.Meter.Set("fleet", "searchers", int64(len(c.View.Fleet.Registrations)))
		r.Meter.Set("fleet", "hosts", int64(c.View.HostCount))
	case ctrl.FeedCommand:
		r.executeFeed(c.Command)
	case ctrl.AnswerStatus:
		r.asked.settle(c.Token, c.Status)
	case ctrl.Refuted:
		r.Log.Warn("peers held this host as failed or its process was paused",
			"incarnation", c.Incarnation, "paused", c.Suspended)
	default:
		r.peers.execute(c)
	}
}

func (r *Relay) executeFeed(c feed.Command) {
	switch c := c.(type) {
	case feed.Read:
		r.Meter.Count("platformCall", "read")
		r.wait.Go(func() {
			r.tell(feed.Result{Topic: c.Topic, CallID: c.CallID, Event: r.Source.Read(r.ctx, c.Topic)})
		})
	case feed.Watch:
		r.Meter.Count("platformCall", "watch")
		r.wait.Go(func() {
			r.tell(feed.Result{Topic: c.Topic, CallID: c.CallID, Event: r.Source.Watch(r.ctx, c.Topic, c.After)})
		})
	case feed.Announce:
		r.wait.Go(r.announce)
	case feed.PullFrom:
		r.wait.Go(func() { r.tell(r.pull(c)) })
	case feed.LogLine:
		if c.Warn {
			r.Log.Warn(c.Message, c.Fields...)
		} else {
			r.Log.Info(c.Message, c.Fields...)
		}
	}
}

// tell reports what came of a call, unless the daemon stops.
func (r *Relay) tell(e feed.Event) {
	if r.ctx.Err() == nil {
		r.control.Send(ctrl.FeedEvent{Event: e})
	}
}

// pull asks a peer for its catalog.
func (r *Relay) pull(c feed.PullFrom) feed.Event {
	from := c.Peer
	ctx, cancel := context.WithTimeout(r.ctx, pullTimeout)
	defer cancel()
	answer, err := r.peers.pool.Pull(ctx, from.Peer, &peer.PullRequest{
		Sender: string(r.Self.ID), SettingsRevision: uint64(c.Version), IndexVersion: c.Fleet,
	})
	if err == nil {
		var catalog feed.Catalog
		if catalog, err = wire.DecodeCatalog(answer.GetHead().GetValue()); err == nil {
			return feed.Pulled{Peer: from, Catalog: catalog}
		}
	}
	r.Meter.Count("peer", "pullFailed")
	r.Log.Warn("peer gave no catalog", "peer", from.Peer, "error", err)
	return feed.PullFailed{Peer: from.ID}
}

// answerPull gives a peer what this host believes.
func (r *Relay) answerPull(_ context.Context, m *peer.PullRequest) (*peer.PullResponse, error) {
	v := r.View()
	catalog := feed.Catalog{Configuration: v.Configuration, Fleet: v.Fleet}
	if uint64(v.Configuration.Version) <= m.GetSettingsRevision() {
		catalog.Configuration = model.Configuration{}
	}
	if changed, ok := v.Fleet.ChangesSince(m.GetIndexVersion()); ok {
		catalog.Fleet, catalog.Since = changed, m.GetIndexVersion()
	}
	value, err := wire.EncodeCatalog(catalog)
	if err != nil {
		r.Log.Warn("catalog was not encoded", "error", err)
		return nil, err
	}
	return &peer.PullResponse{Head: &peer.Object{Name: "catalog", Version: v.Fleet.Revision, Value: value}}, nil
}

// Serve hands a request to the traffic lane and waits for its answer. The
// request's Handle is set here. If the caller goes away, the lane is told and
// the answer says so.
func (r *Relay) Serve(ctx context.Context, q relay.Request) relay.Answer {
	q.Handle = relay.Handle(r.handles.Add(1))
	return r.lane.serve(ctx, q)
}

// Leave takes this host out of the address answers and tells its peers. It goes
// on to serve.
func (r *Relay) Leave() { r.control.Send(ctrl.LeaveRequested{}) }

// Close stops all loops and waits for every goroutine. Run must have been called.
func (r *Relay) Close() error {
	<-r.started
	r.stop()
	_ = r.lane.loop.Close()
	_ = r.pool.Close()
	_ = r.control.Close()
	r.peers.close()
	r.wait.Wait()
	return nil
}
