// Package daemon assembles the process of an entry host: the control loop, the
// traffic lanes, the connections to searchers and the platform, and the
// listeners. A traffic lane is an event loop that handles requests. Each loop
// runs a world and executes the commands that the world returns.
//
// # Usage
//
//	d := daemon.New(settings)
//	d.Store = store.NewClient(settings.Platform)
//	d.Log = logger
//	go d.Run(ctx)
//	<-d.Started()
//	d.Close()
package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/dial"
	"toucanpulley.example/internal/drain"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/intake"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/serve"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

const (
	// readHeaderTimeout and idleTimeout limit how long a caller may hold a
	// connection without sending a request.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// Daemon runs one entry host. Exported fields must be set before Run.
type Daemon struct {
	Store store.Store
	Log   hclog.Logger
	Meter *meter.Meter
	// OnLeave, if not nil, is called when a drain removes this host from the
	// addresses that are returned to callers.
	OnLeave func()
	// Certs, if not nil, replaces the certificate files named in the settings.
	Certs *certs.Config

	settings    conf.Settings
	views       *view.Atomic
	control     *tick.Loop[ctrl.Event, ctrl.Command]
	pool        *dial.Pool
	peers       *peerTransport
	watcher     *watcher
	seats       seatStore
	lanes       []*lane
	changes     *changeRunner
	claims      *claimRunner
	server      *http.Server
	callers     *intake.Limiter
	drainer     *drainer
	bootID      uint64
	lastRequest atomic.Uint64
	goroutines  sync.WaitGroup
	stop        context.CancelFunc
	started     chan struct{}
	done        chan struct{}
}

// New returns a daemon for one host with the given settings.
func New(s conf.Settings) *Daemon {
	return &Daemon{
		Store: store.NewClient(s.Platform), Log: hclog.NewNullLogger(), Meter: meter.New(),
		settings: s, views: view.NewAtomic(), bootID: rand.Uint64(),
		started: make(chan struct{}), done: make(chan struct{}),
	}
}

// Started returns a channel that is closed once the listeners are open.
func (d *Daemon) Started() <-chan struct{} { return d.started }

// View returns the current view.
func (d *Daemon) View() view.View { return d.views.Load() }

// Run serves until the context is cancelled, Close is called, or a drain has
// completed. It returns an error if a listener cannot be opened or a drain cut
// off requests.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	ctx, d.stop = context.WithCancel(ctx)
	defer d.stop()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(d.settings.Entry))
	if err != nil {
		return fault.Wrap(err, "listen for callers", string(d.settings.Entry))
	}
	peerListener, err := new(net.ListenConfig).Listen(ctx, "tcp", string(d.settings.Peer))
	if err != nil {
		_ = listener.Close()
		return fault.Wrap(err, "listen for peers", string(d.settings.Peer))
	}
	if err := d.loadCerts(); err != nil {
		return errors.Join(err, listener.Close(), peerListener.Close())
	}
	d.build()
	d.startLoops(ctx)
	d.goroutines.Go(func() { d.peers.run(peerListener) })
	d.goroutines.Go(func() {
		if err := d.serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error("listener failed", "step", "serve callers", "error", err)
		}
	})
	d.Log.Info("entry host started", "address", d.settings.Entry)
	close(d.started)
	<-ctx.Done()
	return d.shutdown()
}

// build creates the components. It runs after the exported fields are set.
func (d *Daemon) build() {
	s := d.settings
	d.Log = d.Log.With("host", s.Host, "failureDomain", s.FailureDomain)
	d.pool = dial.NewPool()
	if a, err := netip.ParseAddrPort(string(s.Entry)); err == nil && !a.Addr().IsUnspecified() {
		// Bind outgoing connections to the host's own address, so that searchers
		// and firewalls can identify the host.
		d.pool.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	d.pool.FailureDomain = s.FailureDomain
	d.pool.TLS = d.searcherTLS()
	d.pool.OnOpen = func(model.SearcherID) { d.Meter.Count("connection", "opened") }
	d.pool.OnTransfer = func(to model.Searcher, n int) {
		direction := "sameDomain"
		if to.FailureDomain != s.FailureDomain {
			direction = "crossDomain"
		}
		d.Meter.Add("bytes", direction, int64(n))
	}
	d.callers = intake.NewLimiter(cmp.Or(s.RequestMemoryMB<<20, intake.DefaultMaxBytes), intake.MaxConns(0))
	d.callers.UnencryptedHTTP2 = true
	d.callers.BodyTimeout = cmp.Or(s.BodyTimeout, intake.DefaultBodyTimeout)
	d.callers.OnCutOff = func() { d.Meter.Count("caller", "cutOff") }
	d.peers = newPeerTransport(s.Host, d.Meter, d.Log)
	d.configurePeerTLS()
	for range max(s.Lanes, 1) {
		w := query.NewWorld(s.Host, s.FailureDomain)
		w.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		l := newLane(w, d.pool, d.Meter, d.Log)
		l.report = d.peers.report
		d.lanes = append(d.lanes, l)
	}
	d.changes = newChangeRunner(d.Store, d.Meter, d.Log)
	d.claims = newClaimRunner(claim.NewWorld(s.Host, s.FailureDomain), d.Store, d.pool, d.Meter, d.Log)
	self := model.Host{ID: s.Host, Entry: s.Entry, Peer: s.Peer, FailureDomain: s.FailureDomain, Region: s.Region}
	world := ctrl.NewWorld(self, uint64(time.Now().UnixMilli()))
	world.Member.Seeds = s.Seeds
	d.control = tick.NewLoop[ctrl.Event, ctrl.Command](world, d.execute)
	d.peers.send = d.control.Send
	d.seats = seatStore{store: d.Store, log: d.Log}
	d.watcher = &watcher{store: d.Store, send: d.control.Send, bundle: d.peers.currentBundle, log: d.Log}
	d.drainer = newDrainer(d.executeDrain)
	d.server = &http.Server{
		Handler: d.callers.Handler(d.mux()), ConnContext: d.callers.ConnContext, ConnState: d.callers.ConnState,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: serverProtocols(),
	}
}

func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (d *Daemon) mux() *http.ServeMux {
	mux := http.NewServeMux()
	e := serve.NewEntry(d.settings.Host)
	e.Views, e.Meter, e.Search, e.NewID = d.views, d.Meter, d.search, d.newID
	e.Send = d.claims.send
	e.ForwardSearch, e.ForwardSend, e.InFlight = d.forwardSearch, d.forwardSend, d.drainer.inFlight
	d.peers.server.Forward = limitForwarded(d.callers, forwardHandler(e))
	mux.Handle(e.Handler())
	a := serve.NewAdmin()
	a.Views, a.Meter, a.Apply, a.Resolve = d.views, d.Meter, d.changes.apply, d.changes.resolve
	a.Records = func(ctx context.Context, limit int, before model.Revision) ([]tree.Record, error) {
		return readHistory(ctx, d.Store, limit, before)
	}
	a.StatusJSON, a.StartDrain, a.Authorize = d.status, d.Drain, d.authorizeOperator()
	mux.Handle(a.Handler())
	serve.RegisterMonitoring(mux, d.views, d.Meter)
	return mux
}

// newID returns a request id that is unique across hosts and restarts.
func (d *Daemon) newID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s-%x-%d", d.settings.Host, d.bootID, d.lastRequest.Add(1)))
}

// search runs a request on the lane that its service is hashed to.
func (d *Daemon) search(ctx context.Context, r model.Request) model.Answer {
	return d.lanes[xxhash.Sum64String(string(r.Service))%uint64(len(d.lanes))].search(ctx, r)
}

func (d *Daemon) startLoops(ctx context.Context) {
	// Loops keep running after the context is cancelled, so that requests in
	// flight are still answered.
	ctx = context.WithoutCancel(ctx)
	d.goroutines.Go(func() { _ = d.control.Run(ctx) })
	d.goroutines.Go(func() { _ = d.changes.loop.Run(ctx) })
	d.goroutines.Go(func() { _ = d.drainer.loop.Run(ctx) })
	for _, l := range d.lanes {
		d.goroutines.Go(func() { _ = l.loop.Run(ctx) })
	}
	d.goroutines.Go(func() { _ = d.claims.loop.Run(ctx) })
}

// execute runs a command of the control world.
func (d *Daemon) execute(c ctrl.Command) {
	switch c := c.(type) {
	case ctrl.Publish:
		d.publish(c)
	case ctrl.ReadPlatform:
		d.watcher.calls.Go(func() { d.watcher.read(d.peers.ctx, c.StartedAt) })
	case ctrl.Watch:
		d.watcher.start(d.peers.ctx)
	case ctrl.Unwatch:
		d.watcher.stop()
	case ctrl.ReadSeats:
		d.watcher.calls.Go(func() {
			d.control.Send(ctrl.RouteEvent{Event: d.seats.read(d.peers.ctx, route.ReadSeats(c))})
		})
	case ctrl.WriteSeats:
		d.watcher.calls.Go(func() {
			d.control.Send(ctrl.RouteEvent{Event: d.seats.write(d.peers.ctx, route.WriteSeats(c))})
		})
	case ctrl.SeatsReleased:
		d.drainer.loop.Send(drain.Released{})
	case ctrl.Refuted:
		d.Log.Warn("peers reported this host as failed, or its process was paused",
			"incarnation", c.Incarnation, "suspended", c.Suspended)
	default:
		d.peers.execute(c)
	}
}

func (d *Daemon) publish(c ctrl.Publish) {
	// The lanes get the view before the handlers, so that no handler admits a
	// request under a view that the request's lane has not received yet.
	for _, l := range d.lanes {
		l.loop.Send(query.ViewChanged{View: c.View})
	}
	d.claims.loop.Send(claim.ViewChanged{View: c.View})
	d.pool.SetView(c.View)
	d.views.Store(c.View)
	d.drainer.applyView(c.View)
	d.applyLogLevel(c.View)
	d.Meter.Set("settings", "revision", int64(c.View.Revision))
}

// applyLogLevel applies the log level of the settings tree, or that of the
// settings file if the tree sets none.
func (d *Daemon) applyLogLevel(v view.View) {
	level := d.settings.LogLevel
	if root, ok := v.Tree.Node(tree.Root); ok {
		if value, set := root.Values[tree.KeyLogLevel]; set {
			level, _ = value.AsEnum()
		}
	}
	if l := hclog.LevelFromString(level); l != hclog.NoLevel && l != d.Log.GetLevel() {
		d.Log.SetLevel(l)
	}
}

// shutdown closes the listener after the requests in flight have finished, or at
// once if a drain cut them off, and then stops all loops.
func (d *Daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
	defer cancel()
	cutOff, outcome := d.drainer.outcome()
	if cutOff {
		_ = d.server.Close()
	} else if err := d.server.Shutdown(ctx); err != nil {
		d.Log.Warn("graceful shutdown failed; closing all connections", "error", err)
		_ = d.server.Close()
	}
	for _, l := range d.lanes {
		l.close()
	}
	d.changes.close()
	d.claims.close()
	_ = d.control.Close()
	_ = d.drainer.loop.Close()
	d.peers.close()
	d.watcher.calls.Wait()
	_ = d.pool.Close()
	d.goroutines.Wait()
	return outcome
}

// Close stops the daemon and waits for all its goroutines. Run must have been
// called.
func (d *Daemon) Close() error {
	select {
	case <-d.started:
		d.stop()
	case <-d.done: // Run failed before the listeners were open
	}
	<-d.done
	return nil
}
