package conns

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
)

const (
	// MaxReplyBytes bounds the bytes that are read for one call: head and body of the
	// reply, and interim and late replies before it. A faulty searcher may send without
	// end.
	MaxReplyBytes = 1 << 20
	// MaxHeadBytes bounds the head of a reply. Parsed headers take up to 16 times the
	// memory of their bytes.
	MaxHeadBytes = 32 << 10
	// DefaultReplyMemory is the default of Pool.ReplyMemory.
	DefaultReplyMemory = 16 << 20
	// smallReplyBytes is the size up to which a reply does not count for
	// Pool.ReplyMemory. Most replies are smaller.
	smallReplyBytes = 32 << 10
	// readBufferBytes is the size of a connection's read buffer; most replies are
	// smaller.
	readBufferBytes = 2 << 10
)

var (
	errReplyTooLarge = fmt.Errorf("the searcher sent more than %d bytes for one call", MaxReplyBytes)
	errHeadTooLarge  = fmt.Errorf("the head of the reply has more than %d bytes", MaxHeadBytes)
	errReplyMemory   = errors.New("the unfinished replies of all searchers take too much memory, and this one is the largest")
)

// exceedsLimit reports whether a reply was cut off because of its size.
func exceedsLimit(err error) bool {
	return errors.Is(err, errReplyTooLarge) || errors.Is(err, errHeadTooLarge) || errors.Is(err, errReplyMemory)
}

// ReplyReader reads the replies on a connection within the limits of their sizes.
type ReplyReader struct {
	*bufio.Reader
	limiter *replyLimiter
}

// NewReplyReader returns a reader of the replies in a source.
func NewReplyReader(source io.Reader) *ReplyReader {
	return newReplyReader(source, newReplyMemory(math.MaxInt), func() {})
}

// newReplyReader returns a reader whose replies count for the memory. If this one is
// the largest of too many, cut is called, which must end a read in progress.
func newReplyReader(source io.Reader, memory *replyMemory, cut func()) *ReplyReader {
	limiter := &replyLimiter{source: source, memory: memory, interrupt: cut}
	limiter.endCall()
	return &ReplyReader{Reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter}
}

// EndHead ends the head of a reply. A Codec calls it before it reads the body.
func (r *ReplyReader) EndHead() { r.limiter.headLeft = math.MaxInt }

// beginReply begins the head of a reply.
func (r *ReplyReader) beginReply() { r.limiter.headLeft = MaxHeadBytes }

// cutOff reports whether the connection was closed because of its reply's size.
func (r *ReplyReader) cutOff() bool { return r.limiter.cutOff.Load() }

// endCall ends the last reply for a call.
func (r *ReplyReader) endCall() { r.limiter.endCall() }

// replyLimiter limits the bytes that are read for one call.
type replyLimiter struct {
	source    io.Reader
	memory    *replyMemory
	interrupt func()
	cutOff    atomic.Bool
	// held is the number of bytes read for the current call.
	held     int
	headLeft int
}

func (r *replyLimiter) endCall() {
	if r.held > smallReplyBytes {
		r.memory.release(r)
	}
	r.held, r.headLeft = 0, MaxHeadBytes
}

// Read implements io.Reader.
func (r *replyLimiter) Read(to []byte) (int, error) {
	left := MaxReplyBytes - r.held
	switch {
	case left <= 0:
		return 0, errReplyTooLarge
	case r.headLeft <= 0:
		return 0, errHeadTooLarge
	}
	n, err := r.source.Read(to[:min(len(to), left, r.headLeft)])
	r.held += n
	r.headLeft -= n
	if r.held > smallReplyBytes {
		r.memory.set(r, r.held)
	}
	if r.cutOff.Load() {
		return n, errReplyMemory
	}
	return n, err
}

// cut ends the reply of another goroutine.
func (r *replyLimiter) cut() {
	r.cutOff.Store(true)
	r.interrupt()
}

// replyMemory bounds the bytes of the unfinished replies of all connections. It is safe
// for concurrent use.
type replyMemory struct {
	mu    sync.Mutex
	limit int
	total int
	held  map[*replyLimiter]int
}

func newReplyMemory(limit int) *replyMemory {
	return &replyMemory{limit: limit, held: map[*replyLimiter]int{}}
}

// setLimit sets the limit, which holds from the next byte on.
func (m *replyMemory) setLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// set sets the bytes that a reply holds. It cuts off the largest replies for as long as
// all of them exceed the limit, so that few large ones leave the others room.
func (m *replyMemory) set(r *replyLimiter, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total += bytes - m.held[r]
	m.held[r] = bytes
	for m.total > m.limit {
		var largest *replyLimiter
		for c, n := range m.held {
			if largest == nil || n > m.held[largest] {
				largest = c
			}
		}
		m.remove(largest)
		largest.cut()
	}
}

// release forgets a reply that has ended.
func (m *replyMemory) release(r *replyLimiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(r)
}

func (m *replyMemory) remove(r *replyLimiter) {
	m.total -= m.held[r]
	delete(m.held, r)
}
