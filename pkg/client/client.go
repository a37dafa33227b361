// Package client is the caller library: it asks entry hosts which of them to
// use, keeps the answer for its time to live, spreads requests over them by
// weight, and moves on by itself when a host is lost or refuses.
//
// A request that surely did not run is sent to another host until its deadline.
// A search that may have run is sent again within a retry budget, and a search
// that takes more than half of its time is sent to a second host within the
// same budget. A send that may have run is sent again only with the same key;
// without a key its outcome is returned as unknown: an *Error with MayHaveRun.
//
// # Usage
//
//	c := client.New("10.0.0.1:7100", "10.0.1.1:7100")
//	c.FailureDomain = "karachi-a"
//	defer c.Close()
//	answer, err := c.Search(ctx, &entry.SearchRequest{Account: "dastkar", Service: "jury-desk"})
//	var failed *client.Error
//	if errors.As(err, &failed) && failed.Execution == client.NotRun {
//		// safe to try again later
//	}
package client

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/pkg/entry"
)

const (
	// defaultTimeout is the deadline of a request whose context has none.
	defaultTimeout = 10 * time.Second
	// defaultRetryShare is the number of resends for each request.
	defaultRetryShare = 0.1
	// connectTimeout bounds the time to open a connection, and askTimeout that
	// for an address answer.
	connectTimeout   = time.Second
	addressesTimeout = 2 * time.Second
	// pingInterval and pingTimeout find connections that were lost without a sign.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// idleTimeout closes connections to hosts that are no longer used.
	idleTimeout = time.Minute
)

// Client sends requests to entry hosts. Exported fields are set before the first
// request; it is then safe for concurrent use.
type Client struct {
	// Entries are the addresses of entry hosts to ask first, in any order.
	Entries []string
	// FailureDomain is the caller's own; hosts in it are preferred. Empty
	// spreads requests over all failure domains.
	FailureDomain string
	// Timeout is the deadline of a request whose context has none; 10 s if zero.
	Timeout time.Duration
	// RetryShare is the largest number of resends of requests that may have run,
	// for each request, 0 to 1.
	RetryShare float64
	// TLS is the configuration for entry hosts; nil for plain connections.
	TLS *tls.Config
	// HTTP is used for all calls. With TLS its transport is replaced.
	HTTP *http.Client

	startOnce  sync.Once
	loop       *tick.Loop[event, command]
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	mu         sync.Mutex
	lastID     requestID
	pending    map[requestID]*pendingRequest
	closed     bool
}

// message is a request of the entry API.
type message interface {
	GetService() string
	GetTimeoutMs() uint32
}

// pendingRequest is a request that waits for its outcome.
type pendingRequest struct {
	ctx     context.Context
	cancel  context.CancelFunc
	message message
	done    chan completion
}

// New returns a client that knows some entry hosts.
func New(entries ...string) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{
		Entries: entries, Timeout: defaultTimeout, RetryShare: defaultRetryShare,
		HTTP: &http.Client{Transport: newTransport(nil)},
		ctx:  ctx, cancel: stop, pending: map[requestID]*pendingRequest{},
	}
}

// newTransport returns an HTTP/2 transport, by TLS if there is a configuration.
func newTransport(config *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	return &http.Transport{
		Protocols: protocols, IdleConnTimeout: idleTimeout, TLSClientConfig: config,
		TLSHandshakeTimeout: connectTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
}

// Search runs an idempotent query. The error is an *Error.
func (c *Client) Search(ctx context.Context, r *entry.SearchRequest) (*entry.SearchResponse, error) {
	reply, err := c.do(ctx, kindSearch, r)
	if err != nil {
		return nil, err
	}
	answer, _ := reply.(*entry.SearchResponse)
	return answer, nil
}

// Send runs a non-idempotent request. The error is an *Error; with MayHaveRun
// the outcome is unknown, and only a Send with the same key is safe.
func (c *Client) Send(ctx context.Context, r *entry.SendRequest) (*entry.SendResponse, error) {
	kind := kindSend
	if r.GetKey() != "" {
		kind = kindKeyedSend
	}
	reply, err := c.do(ctx, kind, r)
	if err != nil {
		return nil, err
	}
	answer, _ := reply.(*entry.SendResponse)
	return answer, nil
}

// Addresses asks the configured entry hosts, one after another, which hosts to
// use for a service. The error is an *Error of the last one.
func (c *Client) Addresses(ctx context.Context, service string) (*entry.AddressesResponse, error) {
	c.startOnce.Do(c.startLoop)
	f := failure{reason: ReasonNoAddresses, detail: "no entry host is configured"}
	for _, address := range c.Entries {
		var answer *entry.AddressesResponse
		if answer, f = c.callAddresses(ctx, model.Address(address), service); answer != nil {
			return answer, nil
		}
	}
	return nil, &Error{Step: "ask for addresses", Peer: f.peer, Reason: f.reason, Execution: NotRun, Detail: f.detail}
}

// do hands a request to the world and waits for its outcome.
func (c *Client) do(ctx context.Context, k kind, message message) (any, error) {
	c.startOnce.Do(c.startLoop)
	ctx, cancel := c.withTimeout(ctx, time.Duration(message.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p := &pendingRequest{message: message, done: make(chan completion, 1)}
	// Attempts outlive the caller's context: its end goes through the world.
	p.ctx, p.cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer p.cancel()
	id, ok := c.addPending(p)
	if !ok || !c.loop.Send(submitted{id, k, message.GetService(), deadline}) {
		return nil, &Error{Step: k.step(), Reason: ReasonClosed, Execution: NotRun, Detail: "the client is closed"}
	}
	callerDone := ctx.Done()
	for {
		select {
		case f := <-p.done:
			if f.err != nil {
				return nil, f.err
			}
			return f.reply, nil
		case <-callerDone:
			callerDone = nil
			if ctx.Err() == context.Canceled {
				c.loop.Send(callerCancelled{id})
			}
		case <-c.loop.Done():
			return nil, &Error{Step: k.step(), Reason: ReasonClosed, Execution: MayHaveRun, Detail: "the client was closed"}
		}
	}
}

// withTimeout applies the request's own time budget, or the default where neither it
// nor the context has a deadline.
func (c *Client) withTimeout(ctx context.Context, budget time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok && budget <= 0 {
		return context.WithCancel(ctx)
	}
	if budget <= 0 {
		budget = c.Timeout
	}
	if budget <= 0 {
		budget = defaultTimeout
	}
	return context.WithTimeout(ctx, budget)
}

func (c *Client) startLoop() {
	if c.TLS != nil {
		secure := *c.HTTP
		secure.Transport = newTransport(c.TLS)
		c.HTTP = &secure
	}
	entries := make([]model.Address, 0, len(c.Entries))
	for _, e := range c.Entries {
		entries = append(entries, model.Address(e))
	}
	w := newWorld(entries, model.FailureDomain(c.FailureDomain), c.RetryShare, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.loop = tick.NewLoop[event, command](w, c.execute)
	c.goroutines.Go(func() { _ = c.loop.Run(context.Background()) })
}

func (c *Client) addPending(p *pendingRequest) (requestID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, false
	}
	c.lastID++
	c.pending[c.lastID] = p
	return c.lastID, true
}

// execute carries out a command of the world.
func (c *Client) execute(cmd command) {
	switch cmd := cmd.(type) {
	case fetchAddresses:
		c.goroutines.Go(func() { c.loop.Send(c.fetchAddresses(cmd)) })
	case attempt:
		c.mu.Lock()
		p := c.pending[cmd.id]
		c.mu.Unlock()
		if p != nil {
			c.goroutines.Go(func() { c.loop.Send(c.sendAttempt(p, cmd)) })
		}
	case completion:
		c.mu.Lock()
		p := c.pending[cmd.id]
		delete(c.pending, cmd.id)
		c.mu.Unlock()
		if p != nil {
			p.done <- cmd
			p.cancel()
		}
	}
}

// Close ends all requests and waits for every goroutine.
func (c *Client) Close() error {
	c.startOnce.Do(c.startLoop)
	c.mu.Lock()
	c.closed = true
	for _, p := range c.pending {
		p.cancel()
	}
	c.mu.Unlock()
	c.cancel()
	_ = c.loop.Close()
	c.goroutines.Wait()
	c.HTTP.CloseIdleConnections()
	return nil
}
