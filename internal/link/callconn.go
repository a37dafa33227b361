package link

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcenc"
)

// callConn is a connection for one call, which succeeds once its response is
// received. drpc alone would fail the call if the connection closes before the
// stream does, which happens when the peer shuts down.
type callConn struct {
	*drpcconn.Conn
	// streamErr is an error that occurred after the response was received.
	streamErr error
}

// Invoke makes the call. It returns nil if a response was received, and stores a
// later error in streamErr.
func (c *callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	tracker := &receiveTracker{Encoding: enc}
	err := c.Conn.Invoke(ctx, rpc, tracker, in, out)
	if tracker.received {
		c.streamErr = err
		return nil
	}
	return err
}

// receiveTracker is an encoding that records whether a message was received.
type receiveTracker struct {
	drpc.Encoding
	received bool
}

// MarshalAppend forwards an optional method of the encoding that avoids copying
// requests.
func (t *receiveTracker) MarshalAppend(buf []byte, m drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(m, t.Encoding, buf)
}

// Unmarshal decodes a message.
func (t *receiveTracker) Unmarshal(buf []byte, m drpc.Message) error {
	err := t.Encoding.Unmarshal(buf, m)
	t.received = err == nil
	return err
}
