// Package client is the client library of the query tier. It fetches the
// addresses of the entry hosts of a service, caches them for their time to live,
// balances requests over the hosts by weight, and fails over to another host when
// a connection is lost or a host refuses a request.
//
// A request that did not run is retried on another host until its deadline. A
// search that may have run is retried within a retry budget; a search without a
// reply after half of its time is hedged, within the same budget. A send that may
// have run is retried only if it has an idempotency key; without one the outcome
// is unknown, and the client returns an *Error with MayHaveRun.
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

	"toucanpulley.example/internal/heads"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/pkg/entry"
)

const (
	// defaultTimeout applies to a request without a time budget whose context has no
	// deadline.
	defaultTimeout = 10 * time.Second
	// defaultRetryShare is the default ratio of retries to requests.
	defaultRetryShare = 0.1
	// connectTimeout bounds the TCP connect and the TLS handshake, each;
	// addressesTimeout bounds a call for addresses.
	connectTimeout   = time.Second
	addressesTimeout = 2 * time.Second
	// HTTP/2 pings after pingInterval without traffic detect connections that were
	// lost without a reset.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// idleTimeout closes unused connections, such as those to hosts that left.
	idleTimeout = time.Minute
)

// Client sends requests to entry hosts. It is safe for concurrent use; exported
// fields must not change after the first request.
type Client struct {
	// Entries are the addresses of the entry hosts from which the client fetches
	// its first address list, in any order.
	Entries []string
	// FailureDomain is the failure domain of the caller; its hosts are preferred.
	// If empty, requests are balanced over all failure domains.
	FailureDomain string
	// Timeout is the time budget of a request that sets none and whose context has no
	// deadline; 10 s if zero.
	Timeout time.Duration
	// RetryShare is the largest ratio of retries to requests, 0 to 1, for requests
	// that may have run or were refused because a queue is full. Hedged searches
	// count as retries.
	RetryShare float64
	// TLS is the configuration for connections to entry hosts; nil disables TLS.
	TLS *tls.Config
	// HTTP is used for all calls. If TLS is set, its transport is replaced. The default
	// rejects malformed answers and closes their connections.
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

// message is a request message of the entry service.
type message interface {
	GetService() string
	GetTimeoutMs() uint32
}

// pendingRequest is a request whose caller waits for its outcome.
type pendingRequest struct {
	ctx     context.Context
	cancel  context.CancelFunc
	message message
	done    chan completion
}

// New returns a client that fetches its first address list from the given entry
// hosts.
func New(entries ...string) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		Entries: entries, Timeout: defaultTimeout, RetryShare: defaultRetryShare,
		HTTP: &http.Client{Transport: newTransport(nil)},
		ctx:  ctx, cancel: cancel, pending: map[requestID]*pendingRequest{},
	}
}

// newTransport returns an HTTP/2 transport that rejects malformed answers, without TLS
// if config is nil.
func newTransport(config *tls.Config) http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	return heads.Transport{Next: &http.Transport{
		Protocols: protocols, IdleConnTimeout: idleTimeout, TLSClientConfig: config,
		TLSHandshakeTimeout: connectTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}}
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
// the outcome is unknown, and only a Send with the same key is a safe retry.
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

// Addresses fetches the addresses of the entry hosts of a service from the first
// configured entry host that returns them. If all fail, the error is the *Error of
// the last one.
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

// do submits a request to the world and waits for its outcome.
func (c *Client) do(ctx context.Context, k kind, m message) (any, error) {
	c.startOnce.Do(c.startLoop)
	ctx, cancel := c.withTimeout(ctx, time.Duration(m.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p := &pendingRequest{message: m, done: make(chan completion, 1)}
	// Attempts do not end with the caller's context; a cancellation is an event of
	// the world, which ends the request.
	p.ctx, p.cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer p.cancel()
	id, ok := c.addPending(p)
	if !ok || !c.loop.Send(submitted{id, k, m.GetService(), deadline}) {
		return nil, &Error{Step: k.step(), Reason: ReasonClosed, Execution: NotRun, Detail: "the client is closed"}
	}
	callerDone := ctx.Done()
	for {
		select {
		case outcome := <-p.done:
			if outcome.err != nil {
				return nil, outcome.err
			}
			return outcome.reply, nil
		case <-callerDone:
			// The world itself fails a request whose deadline has passed.
			callerDone = nil
			if ctx.Err() == context.Canceled {
				c.loop.Send(callerCancelled{id})
			}
		case <-c.loop.Done():
			return nil, &Error{Step: k.step(), Reason: ReasonClosed, Execution: MayHaveRun, Detail: "the client was closed"}
		}
	}
}

// withTimeout bounds the context by the time budget of the request, or by
// Client.Timeout if the request has none and the context has no deadline.
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

// startLoop starts the loop that runs the world.
func (c *Client) startLoop() {
	if c.TLS != nil {
		httpClient := *c.HTTP
		httpClient.Transport = newTransport(c.TLS)
		c.HTTP = &httpClient
	}
	entries := make([]model.Address, 0, len(c.Entries))
	for _, e := range c.Entries {
		entries = append(entries, model.Address(e))
	}
	w := newWorld(entries, model.FailureDomain(c.FailureDomain), c.RetryShare, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.loop = tick.NewLoop[event, command](w, c.execute)
	c.goroutines.Go(func() { _ = c.loop.Run(context.Background()) })
}

// addPending registers a request under a new id, and reports false if the client
// is closed.
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

// execute carries out a command that the world emitted. I/O runs on goroutines, as
// the loop must not block.
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

// Close cancels all requests and waits until every goroutine has ended.
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
