package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for the clients of one zone. It asks the directories for
// addresses and opens a new connection for each request.
type client struct {
	zone string
	// caller is sent in the Authorization header.
	caller      string
	directories []string
	// headers are sent besides.
	headers http.Header
	rec     *recorder

	mu        sync.Mutex
	addresses []string
	until     time.Time
	lastID    int
}

// resolve returns the entry addresses, from a directory or from the last response.
func (c *client) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses
	}
	for _, d := range c.directories {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		addresses, ttl, err := ask(ctx, d, c.zone)
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.until = addresses, time.Now().Add(ttl)
			break
		}
	}
	return c.addresses
}

func ask(ctx context.Context, directory, zone string) ([]string, time.Duration, error) {
	query := url.Values{"name": {hostName}, "region": {"sindh"}, "zone": {zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+wire.ResolvePath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	var m struct {
		Addresses []string `json:"addrs"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&m); err != nil {
		return nil, 0, err
	}
	return m.Addresses, time.Duration(min(m.TTL, 5) * float64(time.Second)), nil
}

// outcome is the end of one client attempt. Status is zero without a whole answer.
type outcome struct {
	id         string
	address    string
	sent       time.Time
	status     int
	retryAfter time.Duration
	stamp      string
	body       string
	err        error
}

// send makes one client attempt, at one of the addresses at random.
func (c *client) send(method, path, body string, timeout time.Duration) outcome {
	address := ""
	if addresses := c.resolve(); len(addresses) > 0 {
		address = addresses[rand.IntN(len(addresses))]
	}
	return c.sendTo(address, method, path, body, timeout)
}

// sendTo makes one client attempt at the given address.
func (c *client) sendTo(address, method, path, body string, timeout time.Duration) outcome {
	c.mu.Lock()
	c.lastID++
	o := outcome{id: fmt.Sprintf("%s-%06d", c.zone, c.lastID), address: address, sent: time.Now()}
	c.mu.Unlock()
	if address == "" {
		o.err = errors.New("no address is known")
	} else {
		o.err = c.attempt(&o, method, path, body, timeout)
	}
	c.rec.add("sent %s: %s %s to %s, answer %d, retry after %v, stamp %q, error %v",
		o.id, method, path, o.address, o.status, o.retryAfter, o.stamp, o.err)
	return o
}

func (c *client) attempt(o *outcome, method, path, body string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	r.Host = hostName
	r.Header.Set("X-Request-Id", o.id)
	r.Header.Set("Authorization", c.caller)
	for k, vs := range c.headers {
		r.Header[k] = vs
	}
	r.Header.Set(wire.DeadlineHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	o.status, o.stamp, o.body = answer.StatusCode, answer.Header.Get(wire.StampHeader), string(content)
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return nil
}
