package canned

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameData     = 0x0
	frameHeaders  = 0x1
	frameSettings = 0x4
	framePing     = 0x6
	flagAck       = 0x1
	flagEndStream = 0x1
	flagEndHead   = 0x4
)

const (
	clientPreface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeadBytes = 9
	// statusIndex is the index of :status in the static table (RFC 7541, appendix A).
	statusIndex = 8
)

// HTTP2Reply is a reply in HTTP/2 without TLS. The fields are sent as they are.
type HTTP2Reply struct {
	Status string
	// Header and Trailer hold names and values in turn, each below 127 bytes. A nil
	// Trailer is not sent.
	Header, Trailer []string
	// Interim holds the fields of an interim reply that precedes this one; nil for none.
	Interim []string
	Body    []byte
}

// HTTP2 returns a function that sends the reply to each request of a connection.
func HTTP2(reply HTTP2Reply) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, len(clientPreface))); err != nil {
			return
		}
		_, err := c.Write(frame(frameSettings, 0, 0, nil))
		for err == nil {
			err = reply.serveFrame(c)
		}
	}
}

// serveFrame reads a frame and sends what it asks for.
func (r HTTP2Reply) serveFrame(c net.Conn) error {
	head := make([]byte, frameHeadBytes)
	if _, err := io.ReadFull(c, head); err != nil {
		return err
	}
	sizeAndKind, flags, stream := binary.BigEndian.Uint32(head), head[4], binary.BigEndian.Uint32(head[5:])
	payload := make([]byte, sizeAndKind>>8)
	if _, err := io.ReadFull(c, payload); err != nil {
		return err
	}
	var out []byte
	switch kind := byte(sizeAndKind); {
	case (kind == frameSettings || kind == framePing) && flags&flagAck == 0:
		if kind == frameSettings {
			payload = nil
		}
		out = frame(kind, flagAck, 0, payload)
	case (kind == frameData || kind == frameHeaders) && flags&flagEndStream != 0:
		out = r.encode(stream)
	}
	_, err := c.Write(out)
	return err
}

// encode returns the frames of the reply.
func (r HTTP2Reply) encode(stream uint32) []byte {
	var out bytes.Buffer
	if r.Interim != nil {
		out.Write(frame(frameHeaders, flagEndHead, stream, encodeFields("103", r.Interim)))
	}
	out.Write(frame(frameHeaders, flagEndHead, stream, encodeFields(r.Status, r.Header)))
	if r.Trailer == nil {
		out.Write(frame(frameData, flagEndStream, stream, r.Body))
		return out.Bytes()
	}
	out.Write(frame(frameData, 0, stream, r.Body))
	out.Write(frame(frameHeaders, flagEndHead|flagEndStream, stream, encodeFields("", r.Trailer)))
	return out.Bytes()
}

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return append(binary.BigEndian.AppendUint32(append(head, flags), stream), payload...)
}

// encodeFields encodes a status, if any, and fields as literals (RFC 7541, section 6.2.2).
func encodeFields(status string, fields []string) []byte {
	var out []byte
	if status != "" {
		out = append(append(out, statusIndex, byte(len(status))), status...)
	}
	for i, f := range fields {
		if i%2 == 0 {
			out = append(out, 0) // the name follows
		}
		out = append(append(out, byte(len(f))), f...)
	}
	return out
}
