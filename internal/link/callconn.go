package link

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
)

// callConn makes one call over a connection. The call succeeds once its answer is
// received, while drpc also fails it if the connection ends before the stream
// is closed, as that of a peer that shuts down does.
type callConn struct {
	*drpcconn.Conn
	// streamErr is the error with which the stream streamErr after the answer.
	streamErr error
}

// Invoke makes the call.
func (c *callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	tracker := &receiveTracker{Encoding: enc}
	err := c.Conn.Invoke(ctx, rpc, tracker, in, out)
	if tracker.received {
		c.streamErr = err
		return nil
	}
	return err
}

// receiveTracker is an encoding that notes whether a message was received.
type receiveTracker struct {
	drpc.Encoding
	received bool
}

// MarshalAppend keeps the encoding of requests without a copy.
func (c *receiveTracker) MarshalAppend(buf []byte, m drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(m, c.Encoding, buf)
}

// Unmarshal decodes a message.
func (c *receiveTracker) Unmarshal(buf []byte, m drpc.Message) error {
	err := c.Encoding.Unmarshal(buf, m)
	c.received = err == nil
	return err
}
