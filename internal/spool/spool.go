// Package spool provides an asynchronous writer of log lines that never blocks the
// logging goroutine. Lines are queued in a bounded queue and written in batches.
// Lines that exceed the queue or the rate limit are dropped and counted.
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
	// DefaultQueueLines is the capacity of the queue.
	DefaultQueueLines = 2048
	// DefaultLinesPerSecond is the rate limit; at 10 us per line it amounts to
	// about 1% of a core.
	DefaultLinesPerSecond = 1000
	// batchDelay is the time for which a batch collects lines before it is
	// written.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the size at which a batch takes no more lines.
	maxBatchBytes = 64 << 10
)

// Writer accepts one log line per Write. Exported fields must be set before Run.
type Writer struct {
	// LinesPerSecond is the rate limit.
	LinesPerSecond int

	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// NewWriter returns a writer that writes to out. Run must be started for lines to
// be written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{
		LinesPerSecond: DefaultLinesPerSecond, out: out, lines: make(chan []byte, DefaultQueueLines),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// Write queues a line, or drops it if the queue is full. It never blocks and never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until Close is called.
func (w *Writer) Run() {
	defer close(w.done)
	limiter := newTokenBucket(w.LinesPerSecond)
	var reportedDrops int64
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
		if n := w.dropped.Load(); n > reportedDrops {
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n-reportedDrops)
			reportedDrops = n
		}
		_, _ = w.out.Write(batch) // a failure of the log output cannot be logged
	}
}

// waitForBatch waits for batchDelay or until the writer is closed.
func (w *Writer) waitForBatch() {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
}

// appendQueued appends queued lines to the batch until the queue is empty or the
// batch is full.
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

// writeQueued writes all queued lines without a rate limit.
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

// Close writes the queued lines and waits for Run to return. It blocks forever if
// Run is never called.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// tokenBucket limits the rate of lines, with a burst of one second.
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
