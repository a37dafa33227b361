package dial

import (
	"net"
	"sync"
	"sync/atomic"

	"toucanpulley.example/internal/model"
)

// countConn counts a connection as open until it is closed.
func (p *Pool) countConn(conn net.Conn, s model.Searcher) net.Conn {
	value, _ := p.openCounts.LoadOrStore(s.ID, new(atomic.Int64))
	openCount, _ := value.(*atomic.Int64)
	openCount.Add(1)
	onTransfer := func(int) {}
	if p.OnTransfer != nil {
		onTransfer = func(n int) { p.OnTransfer(s, n) }
	}
	return &countedConn{Conn: conn, onTransfer: onTransfer, onClose: func() { openCount.Add(-1) }}
}

// OpenConnections returns the number of open connections to a searcher.
func (p *Pool) OpenConnections(id model.SearcherID) int {
	if value, ok := p.openCounts.Load(id); ok {
		openCount, _ := value.(*atomic.Int64)
		return int(openCount.Load())
	}
	return 0
}

// countedConn is a connection that reports transferred bytes and its closing.
type countedConn struct {
	net.Conn
	onTransfer func(int)
	onClose    func()
	closeOnce  sync.Once
}

// Close closes the connection and reports it once.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// Read reads from the connection and reports the number of bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.onTransfer(n)
	return n, err
}

// Write writes to the connection and reports the number of bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.onTransfer(n)
	return n, err
}
