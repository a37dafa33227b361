package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/heads"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/object"
)

const (
	// callTimeout is the timeout of all calls except Watch.
	callTimeout = 5 * time.Second
	// watchTimeout is the time for which the platform may hold a watch open.
	watchTimeout = 30 * time.Second
	// watchMargin is added to watchTimeout for the timeout of the call, so that the
	// platform's empty answer still arrives.
	watchMargin = 5 * time.Second
)

// Client is a Store that uses the Connect API of the platform.
type Client struct {
	// HTTP is used for all calls. It may be replaced before the first call.
	HTTP *http.Client

	baseURL string
}

// NewClient returns a client of the platform at a base URL.
func NewClient(baseURL string) *Client {
	transport := heads.Transport{Next: &http.Transport{MaxIdleConnsPerHost: 8}}
	return &Client{HTTP: &http.Client{Transport: transport}, baseURL: baseURL}
}

func (c *Client) service() object.ObjectServiceClient {
	return object.NewObjectServiceClient(c.HTTP, c.baseURL)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.service().Get(ctx, connect.NewRequest(&object.GetRequest{Name: name}))
	if err != nil {
		return Object{}, c.readError(err, "get object "+name)
	}
	return toObject(res.Msg.GetObject()), nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	res, err := c.service().Put(ctx, connect.NewRequest(&object.PutRequest{
		Name: name, Value: value, IfVersion: ifVersion,
	}))
	if err != nil {
		return Object{}, c.writeError(err, "put object "+name, written.Load())
	}
	return toObject(res.Msg.GetObject()), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.service().List(ctx, connect.NewRequest(&object.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, 0, c.readError(err, "list objects "+prefix)
	}
	return toObjects(res.Msg.GetObjects()), res.Msg.GetVersion(), nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchMargin)
	defer cancel()
	res, err := c.service().Watch(ctx, connect.NewRequest(&object.WatchRequest{
		Prefix: prefix, AfterVersion: after, TimeoutMs: uint32(watchTimeout / time.Millisecond),
	}))
	if err != nil {
		return nil, 0, c.readError(err, "watch objects "+prefix)
	}
	return toObjects(res.Msg.GetObjects()), res.Msg.GetVersion(), nil
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.service().Hosts(ctx, connect.NewRequest(&object.HostsRequest{}))
	if err != nil {
		return nil, c.readError(err, "list hosts")
	}
	hosts := make([]HostEntry, 0, len(res.Msg.GetHosts()))
	for _, h := range res.Msg.GetHosts() {
		hosts = append(hosts, HostEntry{
			ID: h.GetId(), Role: Role(h.GetRole()), Address: model.Address(h.GetAddress()),
			Peer: model.Address(h.GetPeerAddress()), FailureDomain: model.FailureDomain(h.GetFailureDomain()),
			Region: model.Region(h.GetRegion()), Leaving: h.GetLeaving(),
		})
	}
	return hosts, nil
}

func (c *Client) readError(err error, step string) error {
	if connect.CodeOf(err) == connect.CodeNotFound {
		return fault.Wrap(ErrNotFound, step, c.baseURL)
	}
	return fault.Wrap(errors.Join(ErrUnavailable, err), step, c.baseURL)
}

// writeError returns the error of a failed write. It returns ErrOutcomeUnknown if
// the write may have taken effect, and ErrConflict or ErrUnavailable if it did not
// because the platform rejected it or because it was never sent.
func (c *Client) writeError(err error, step string, written bool) error {
	switch code := connect.CodeOf(err); {
	case code == connect.CodeFailedPrecondition:
		return fault.Wrap(ErrConflict, step, c.baseURL)
	case code == connect.CodeInvalidArgument || code == connect.CodeResourceExhausted:
		return fault.Wrap(errors.Join(ErrUnavailable, err), step, c.baseURL)
	case !written:
		return fault.Wrap(errors.Join(ErrUnavailable, err), step, c.baseURL)
	default:
		return fault.Wrap(errors.Join(ErrOutcomeUnknown, err), step, c.baseURL)
	}
}

func toObject(o *object.Object) Object {
	return Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()}
}

func toObjects(list []*object.Object) []Object {
	objects := make([]Object, 0, len(list))
	for _, o := range list {
		objects = append(objects, toObject(o))
	}
	return objects
}
