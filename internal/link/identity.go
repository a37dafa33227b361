package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/peer"
)

// handshakeTimeout limits the TLS handshake of an incoming connection.
const handshakeTimeout = 5 * time.Second

// authenticate completes the handshake of a TLS connection and reports
// authentication failures. Plain connections are accepted.
func authenticate(conn net.Conn, onAuthFailure func(error)) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	err := fault.Wrap(tlsConn.HandshakeContext(ctx), "authenticate peer", conn.RemoteAddr().String())
	if err != nil && isAuthFailure(err) {
		reportAuthFailure(onAuthFailure, err)
	}
	return err
}

// isAuthFailure reports whether a handshake failed because the credentials of the
// peer are invalid, not because the connection failed or the peer aborted.
func isAuthFailure(err error) bool {
	var netErr net.Error // includes TLS alerts from the peer
	return !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled)
}

func reportAuthFailure(onAuthFailure func(error), err error) {
	if onAuthFailure != nil {
		onAuthFailure(err)
	}
}

// checkCallSender checks that the certificate of the calling peer is valid for
// the sender that the request names.
func checkCallSender(ctx context.Context, request any) error {
	transport, _ := drpcctx.Transport(ctx)
	sender, _ := senderOf(request)
	if c, ok := transport.(*limitedConn); ok {
		transport = c.Conn
	}
	return checkSender(transport, sender)
}

// checkSender checks that the peer certificate of a connection contains the
// sender as a DNS name.
func checkSender(transport drpc.Transport, sender string) error {
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return fault.New("check sender", sender, "the connection is plain")
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return fault.New("check sender", sender, "the other side showed no certificate")
	}
	if !slices.Contains(certificates[0].DNSNames, sender) {
		return fault.New("check sender", conn.RemoteAddr().String(), "message of %q came with a certificate for %v", sender, certificates[0].DNSNames)
	}
	return nil
}

// senderOf returns the host that a message names as its sender. It reports false
// for messages without a sender field.
func senderOf(message any) (string, bool) {
	switch m := message.(type) {
	case interface{ GetGossip() *peer.Gossip }:
		return m.GetGossip().GetSender().GetHost(), true
	case interface{ GetSender() *peer.Member }:
		return m.GetSender().GetHost(), true
	case interface{ GetSender() string }:
		return m.GetSender(), true
	default:
		return "", false
	}
}
