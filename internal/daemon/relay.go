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
	"toucanpulley.example/internal/intake"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/wire"
)

// Source reads the configuration and the fleet from a store. Read and Watch
// return an event with the result, or feed.Failed on an error.
type Source struct {
	Read  func(context.Context, feed.Read) feed.Event
	Watch func(context.Context, feed.Watch) feed.Event
	// Announce publishes this host's address, so that hosts that start later can
	// join through it.
	Announce func(context.Context, model.Host) error
}

// Relay is the daemon of an entry host that relays requests by routes. Exported
// fields must be set before Run.
type Relay struct {
	Self model.Host
	// Seeds are the peer addresses to contact at start. IsSeed is set if this host
	// is one of them.
	Seeds  []model.Address
	IsSeed bool
	// RetryBudget limits the retries of this deployment.
	RetryBudget relay.RetryBudget
	// ChangeBound is the time within which a change in the store must be in force.
	ChangeBound time.Duration
	// ReplyMemory bounds the bytes of unfinished replies of searchers.
	ReplyMemory int
	// Callers bounds the memory of requests.
	Callers *intake.Limiter
	Source  Source
	Codec   conns.Codec
	Log     hclog.Logger
	Meter   *meter.Meter

	view        atomic.Pointer[relay.View]
	control     *tick.Loop[ctrl.Event, ctrl.Command]
	peers       *peerTransport
	lane        *relayLane
	pool        *conns.Pool
	statusQuery *statusQuery[ctrl.Status]
	lastHandle  atomic.Uint64
	goroutines  sync.WaitGroup
	ctx         context.Context
	stop        context.CancelFunc
	started     chan struct{}
}

// NewRelay returns a daemon for a host.
func NewRelay(self model.Host) *Relay {
	r := &Relay{
		Self: self, Callers: intake.NewLimiter(intake.DefaultMaxBytes, intake.DefaultMaxConns), ChangeBound: feed.DefaultChangeBound, ReplyMemory: conns.DefaultReplyMemory, Log: hclog.NewNullLogger(), Meter: meter.New(), started: make(chan struct{}),
		statusQuery: newStatusQuery[ctrl.Status]("read control status"),
	}
	r.view.Store(&relay.View{HostCount: 1})
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// View returns the current view.
func (r *Relay) View() relay.View { return *r.view.Load() }

// Run starts all loops and serves peers until Close is called. It returns an
// error if the listener for peers cannot be opened.
func (r *Relay) Run() error {
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp", string(r.Self.Peer))
	if err != nil {
		return fault.Wrap(err, "listen for peers", string(r.Self.Peer))
	}
	r.build()
	ctx := context.Background()
	r.goroutines.Go(func() { _ = r.lane.loop.Run(ctx) })
	r.goroutines.Go(func() { _ = r.control.Run(ctx) })
	r.goroutines.Go(func() { r.peers.run(listener) })
	close(r.started)
	// An empty event triggers the first tick, which requests all data that is
	// not known yet.
	r.control.Send(ctrl.FeedEvent{Event: nil})
	<-r.ctx.Done()
	return nil
}

// Started returns a channel that is closed once requests are accepted.
func (r *Relay) Started() <-chan struct{} { return r.started }

func (r *Relay) build() {
	r.pool = conns.NewPool(r.Codec)
	r.pool.ReplyMemory = r.ReplyMemory
	r.pool.OnOpened = func(model.SearcherID) { r.Meter.Count("connection", "opened") }
	r.pool.OnUnsent = func(c relay.StartCall) {
		r.Meter.Count("call", "unsent")
		r.Log.Info("call was cancelled before it had a connection", "request", c.Request, "searcher", c.Searcher.ID)
	}
	world := relay.NewWorld(r.Self.ID, r.Self.FailureDomain)
	world.RetryBudget = r.RetryBudget
	r.lane = newRelayLane(world, r.pool, r.Meter, r.Log)
	r.pool.OnResult = func(e relay.Event) { r.lane.loop.Send(e) }
	control := ctrl.NewRelay(r.Self, uint64(time.Now().UnixMilli()))
	control.Member.Seeds, control.Seed = r.Seeds, r.IsSeed
	control.Feed.ChangeBound = r.ChangeBound
	control.Feed.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.control = tick.NewLoop[ctrl.Event, ctrl.Command](control, r.execute)
	r.peers = newPeerTransport(r.Self.ID, r.Meter, r.Log)
	r.peers.send = r.control.Send
	r.peers.server.Pull = r.handlePull
	r.lane.report = r.peers.report
	r.lane.delegator = newDelegator(r.Self, r.Codec, r.peers, r.lane, r.Callers)
}

// announce publishes this host's address.
func (r *Relay) announce() {
	err := r.Source.Announce(r.ctx, r.Self)
	if err != nil {
		r.Log.Warn("failed to announce host", "error", err)
	}
	r.sendFeedEvent(feed.AnnounceDone{Failed: err != nil})
}

// execute runs a command of the control world.
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
		r.statusQuery.deliver(c.Token, c.Status)
	case ctrl.Refuted:
		r.Log.Warn("peers reported this host as failed, or its process was paused",
			"incarnation", c.Incarnation, "paused", c.Suspended)
	default:
		r.peers.execute(c)
	}
}

// executeFeed runs a command of the feed world.
func (r *Relay) executeFeed(c feed.Command) {
	switch c := c.(type) {
	case feed.Read:
		r.Meter.Count("platformCall", "read")
		r.goroutines.Go(func() {
			r.sendFeedEvent(feed.Result{Topic: c.Topic, CallID: c.CallID, Event: r.Source.Read(r.ctx, c)})
		})
	case feed.Watch:
		r.Meter.Count("platformCall", "watch")
		r.goroutines.Go(func() {
			r.sendFeedEvent(feed.Result{Topic: c.Topic, CallID: c.CallID, Event: r.Source.Watch(r.ctx, c)})
		})
	case feed.Announce:
		r.Meter.Count("platformCall", "announce")
		r.goroutines.Go(r.announce)
	case feed.PullFrom:
		r.goroutines.Go(func() { r.sendFeedEvent(r.pull(c)) })
	case feed.LogLine:
		if c.Warn {
			r.Log.Warn(c.Message, c.Fields...)
		} else {
			r.Log.Info(c.Message, c.Fields...)
		}
	}
}

// sendFeedEvent sends the result of a call to the control loop, unless the daemon
// is stopping.
func (r *Relay) sendFeedEvent(e feed.Event) {
	if r.ctx.Err() == nil {
		r.control.Send(ctrl.FeedEvent{Event: e})
	}
}

// pull requests a peer's catalog.
func (r *Relay) pull(c feed.PullFrom) feed.Event {
	from := c.Peer
	ctx, cancel := context.WithTimeout(r.ctx, pullTimeout)
	defer cancel()
	answer, err := r.peers.pool.Pull(ctx, from.Peer, &peer.PullRequest{
		Sender: string(r.Self.ID), SettingsRevision: uint64(c.Version), IndexVersion: c.FleetRevision,
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

// handlePull returns this host's catalog. It omits the configuration if the
// peer's is as new, and reduces the fleet to the changes since the peer's
// revision if these are known.
func (r *Relay) handlePull(_ context.Context, m *peer.PullRequest) (*peer.PullResponse, error) {
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
		r.Log.Warn("failed to encode catalog", "error", err)
		return nil, err
	}
	return &peer.PullResponse{Head: &peer.Object{Name: "catalog", Version: v.Fleet.Revision, Value: value}}, nil
}

// Serve passes a request to the traffic lane and waits for its answer. It sets
// the request's Handle. If the context is cancelled, the lane is notified, and
// the answer reports the cancellation.
func (r *Relay) Serve(ctx context.Context, q relay.Request) relay.Answer {
	q.Handle = relay.Handle(r.lastHandle.Add(1))
	return r.lane.serve(ctx, q)
}

// Leave removes this host from the addresses that are returned to callers and
// notifies its peers. The host continues to serve requests and answers all of them by
// answerBy; it refuses those that may need longer.
func (r *Relay) Leave(answerBy time.Time) {
	r.lane.loop.Send(relay.Stopping{AnswerBy: answerBy})
	r.control.Send(ctrl.LeaveRequested{})
}

// Close stops all loops and waits for all goroutines. Run must have been called.
func (r *Relay) Close() error {
	<-r.started
	r.stop()
	_ = r.lane.loop.Close()
	_ = r.pool.Close()
	_ = r.control.Close()
	r.peers.close()
	r.goroutines.Wait()
	return nil
}
