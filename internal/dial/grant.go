package dial

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errNoGrant is the cause of a call for which the host holds no right to use
// connections. Nothing was sent.
var errNoGrant = errors.New("the host has no grant of connections to this searcher")

// grant is the right to use the connections to one searcher, with those that
// are open. Once withdrawn, the connections close after the calls in flight.
type grant struct {
	mu        sync.Mutex
	expiresAt time.Time
	calls     int
	revoked   bool
	conns     map[net.Conn]bool
}

func newGrant() *grant { return &grant{conns: map[net.Conn]bool{}} }

// setExpiry sets when the grant ends; zero for no end.
func (g *grant) setExpiry(expiresAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiresAt = expiresAt
}

func (g *grant) ended() bool {
	return g.revoked || !g.expiresAt.IsZero() && !time.Now().Before(g.expiresAt)
}

// beginCall counts a call, or returns an error if the grant has ended.
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

// revoke ends the grant.
func (g *grant) revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked = true
	g.closeIfUnused()
}

// closeIfUnused closes all connections of a withdrawn grant without calls. The
// transport's own CloseIdleConnections keeps a connection whose last call ends
// later.
func (g *grant) closeIfUnused() {
	if !g.revoked || g.calls > 0 {
		return
	}
	for c := range g.conns {
		_ = c.Close()
	}
	clear(g.conns)
}

// addConn takes a new connection, or closes it if the grant has ended meanwhile.
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

// grantedConn is a connection that tells its grant when it is closed.
type grantedConn struct {
	net.Conn
	grant *grant
}

// Close closes the connection.
func (c grantedConn) Close() error {
	c.grant.mu.Lock()
	delete(c.grant.conns, c.Conn)
	c.grant.mu.Unlock()
	return c.Conn.Close()
}
