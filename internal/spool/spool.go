// Package spool writes log lines without ever blocking those who log. Lines
// wait in a bounded queue and are written in batches; lines beyond the queue or
// the rate are dropped and counted.
//
// # Usage
//
//	w := spool.NewWriter(os.Stdout)
//	go w.Run()
//	log := hclog.New(&hclog.LoggerOptions{Output: w})
//	w.Close()
package spool

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultQueueLines is the number of lines that may wait.
	DefaultQueueLines = 2048
	// DefaultLinesPerSecond is the number of lines a second that are written; about 1% of
	// a core at 10 us each.
	DefaultLinesPerSecond = 1000
	// batchDelay is how long lines are gathered before they are written at once.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the number of bytes written at once at most.
	maxBatchBytes = 64 << 10
)

// Writer takes one log line with each Write. Fields are set before Run.
type Writer struct {
	// LinesPerSecond is the number of lines a second that are written.
	LinesPerSecond int

	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// NewWriter returns a writer to a stream.
func NewWriter(out io.Writer) *Writer {
	return &Writer{
		LinesPerSecond: DefaultLinesPerSecond, out: out, lines: make(chan []byte, DefaultQueueLines),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// Write queues a line or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until Close.
func (w *Writer) Run() {
	defer close(w.done)
	limiter := newTokenBucket(w.LinesPerSecond)
	var reported int64
	for {
		var batch []byte
		select {
		case line := <-w.lines:
			if limiter.allow() {
				batch = append(batch, line...)
			} else {
				w.dropped.Add(1)
			}
		case <-w.closing:
			w.writeQueued()
			return
		}
		w.waitForBatch()
		batch = w.appendQueued(batch, limiter)
		if n := w.dropped.Load(); n > reported {
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n-reported)
			reported = n
		}
		_, _ = w.out.Write(batch) // there is nowhere left to report it
	}
}

// waitForBatch lets more lines gather, unless the writer closes.
func (w *Writer) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
}

// appendQueued appends the lines that wait.
func (w *Writer) appendQueued(batch []byte, limiter *tokenBucket) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			if limiter.allow() {
				batch = append(batch, line...)
			} else {
				w.dropped.Add(1)
			}
		default:
			return batch
		}
	}
	return batch
}

// writeQueued writes all lines that wait.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Close writes what waits and stops Run, which must have been called.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// tokenBucket is a token bucket of one second's lines.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

func newTokenBucket(perSecond int) *tokenBucket {
	return &tokenBucket{perSecond: float64(perSecond), tokens: float64(perSecond), updatedAt: time.Now()}
}

func (b *tokenBucket) allow() bool {
	now := time.Now()
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.updatedAt).Seconds()*b.perSecond)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
