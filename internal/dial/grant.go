package dial

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errNoGrant is the error of a call to a searcher for which the host has no valid
// grant. Nothing was sent.
var errNoGrant = errors.New("the host has no valid grant of connections to this searcher")

// grant is the permission to use connections to a searcher until it expires or is
// revoked. It holds the open connections and closes them once it is revoked and
// the calls in flight have ended.
type grant struct {
	mu        sync.Mutex
	expiresAt time.Time
	calls     int
	revoked   bool
	conns     map[net.Conn]bool
}

func newGrant() *grant { return &grant{conns: map[net.Conn]bool{}} }

// setExpiry sets the time at which the grant expires; zero for never.
func (g *grant) setExpiry(expiresAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiresAt = expiresAt
}

// ended reports whether the grant was revoked or has expired. g.mu must be held.
func (g *grant) ended() bool {
	return g.revoked || !g.expiresAt.IsZero() && !time.Now().Before(g.expiresAt)
}

// beginCall counts a call as in flight. It returns an error if the grant has
// ended.
func (g *grant) beginCall() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended() {
		return errNoGrant
	}
	g.calls++
	return nil
}

func (g *grant) endCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls--
	g.closeIfUnused()
}

// revoke ends the grant for new calls. Those in flight may finish.
func (g *grant) revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked = true
	g.closeIfUnused()
}

// closeIfUnused closes all connections of a revoked grant without calls in
// flight. CloseIdleConnections of the transport does not close a connection whose
// last call ends later. g.mu must be held.
func (g *grant) closeIfUnused() {
	if !g.revoked || g.calls > 0 {
		return
	}
	for c := range g.conns {
		_ = c.Close()
	}
	clear(g.conns)
}

// addConn adds a new connection, or closes it if the grant ended while it was
// being opened.
func (g *grant) addConn(c net.Conn) (net.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended() {
		_ = c.Close()
		return nil, errNoGrant
	}
	g.conns[c] = true
	return grantedConn{c, g}, nil
}

// grantedConn is a connection that is removed from its grant on Close.
type grantedConn struct {
	net.Conn
	grant *grant
}

// Close closes the connection and removes it from the grant.
func (c grantedConn) Close() error {
	c.grant.mu.Lock()
	delete(c.grant.conns, c.Conn)
	c.grant.mu.Unlock()
	return c.Conn.Close()
}
