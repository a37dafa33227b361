// Package crowd simulates clients that send the bodies of many requests at once and keep
// most of them unfinished.
//
// # Usage
//
//	c := crowd.NewCrowd(address)
//	c.Head = "POST /path HTTP/1.1\r\nHost: h\r\n"
//	c.Connections, c.BodyBytes, c.ChunkBytes = 300, 512<<10, 1
//	c.Run(ctx)
//	defer c.Close()
package crowd

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// workers is the number of connections that send at the same time.
	workers = 32
	// sendTimeout bounds the time to send one body. A server may stop to read it.
	sendTimeout = 10 * time.Second
)

// Crowd is a set of clients of one server. Exported fields must be set before Run.
type Crowd struct {
	// Address is the TCP address of the server.
	Address string
	// Head is the request line and the headers of each request, without the length of
	// the body and the final empty line.
	Head string
	// Connections is the number of connections, each with one request.
	Connections int
	// BodyBytes is the size of each body, of which the last byte is not sent.
	BodyBytes int
	// PieceBytes is the size of a write; zero sends a body with one write.
	PieceBytes int
	// ChunkBytes is the size of a chunk; zero sends the body with its length.
	ChunkBytes int
	// Whole is set to send bodies with their ends. Their answers are never read.
	Whole bool

	mu    sync.Mutex
	conns []net.Conn
}

// NewCrowd returns a crowd of clients of a server.
func NewCrowd(address string) *Crowd { return &Crowd{Address: address} }

// Run sends all requests but for their ends and leaves the connections open. What the
// server refuses or does not read is dropped.
func (c *Crowd) Run(ctx context.Context) {
	message := c.message()
	queue := make(chan struct{}, c.Connections)
	for range c.Connections {
		queue <- struct{}{}
	}
	close(queue)
	var tasks sync.WaitGroup
	for range workers {
		tasks.Go(func() {
			for range queue {
				c.send(ctx, message)
			}
		})
	}
	tasks.Wait()
}

// message returns a request without its end.
func (c *Crowd) message() string {
	var b strings.Builder
	b.WriteString(c.Head)
	if c.ChunkBytes == 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", c.BodyBytes)
		b.WriteString(strings.Repeat("a", c.BodyBytes-1))
		if c.Whole {
			b.WriteByte('a')
		}
		return b.String()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", c.ChunkBytes, strings.Repeat("a", c.ChunkBytes))
	b.WriteString(strings.Repeat(chunk, (c.BodyBytes-1)/c.ChunkBytes))
	return b.String()
}

// send opens a connection and sends a message on it.
func (c *Crowd) send(ctx context.Context, message string) {
	dialer := net.Dialer{Timeout: sendTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails on a closed socket only
	piece := len(message)
	if c.PieceBytes > 0 {
		piece = c.PieceBytes
	}
	for err == nil && message != "" {
		n := min(piece, len(message))
		_, err = conn.Write([]byte(message[:n]))
		message = message[n:]
	}
}

// Close closes all connections.
func (c *Crowd) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // nothing is left to send
	}
	c.conns = nil
	return nil
}

// Kinds returns crowds of each kind: bodies with a length, at once and in pieces, and
// chunked ones in large and very small chunks.
func Kinds(connections, bodyBytes int) map[string]*Crowd {
	return map[string]*Crowd{
		"at once":      {Connections: connections, BodyBytes: bodyBytes},
		"in pieces":    {Connections: connections, BodyBytes: bodyBytes, PieceBytes: 4 << 10},
		"large chunks": {Connections: connections, BodyBytes: bodyBytes, ChunkBytes: 64 << 10},
		"small chunks": {Connections: connections, BodyBytes: bodyBytes, ChunkBytes: 8},
	}
}
