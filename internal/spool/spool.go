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
	// DefaultQueue is the number of lines that may wait.
	DefaultQueue = 2048
	// DefaultRate is the number of lines a second that are written; about 1% of
	// a core at 10 us each.
	DefaultRate = 1000
	// gather is how long lines are gathered before they are written at once.
	gather = 20 * time.Millisecond
	// batchSize is the number of bytes written at once at most.
	batchSize = 64 << 10
)

// Writer takes one log line with each Write. Fields are set before Run.
type Writer struct {
	// Rate is the number of lines a second that are written.
	Rate int

	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to a stream.
func NewWriter(out io.Writer) *Writer {
	return &Writer{
		Rate: DefaultRate, out: out, lines: make(chan []byte, DefaultQueue),
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
	budget := newRate(w.Rate)
	var reported int64
	for {
		var batch []byte
		select {
		case line := <-w.lines:
			if budget.take() {
				batch = append(batch, line...)
			} else {
				w.dropped.Add(1)
			}
		case <-w.closing:
			w.flush()
			return
		}
		w.pause()
		batch = w.collect(batch, budget)
		if n := w.dropped.Load(); n > reported {
			batch = fmt.Appendf(batch, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n-reported)
			reported = n
		}
		_, _ = w.out.Write(batch) // there is nowhere left to report it
	}
}

// pause lets more lines gather, unless the writer closes.
func (w *Writer) pause() {
	timer := time.NewTimer(gather)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
}

// collect appends the lines that wait.
func (w *Writer) collect(batch []byte, budget *rate) []byte {
	for len(batch) < batchSize {
		select {
		case line := <-w.lines:
			if budget.take() {
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

// flush writes all lines that wait.
func (w *Writer) flush() {
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
	w.once.Do(func() { close(w.closing) })
	<-w.done
	return nil
}

// rate is a token bucket of one second's lines.
type rate struct {
	perSecond float64
	tokens    float64
	at        time.Time
}

func newRate(perSecond int) *rate {
	return &rate{perSecond: float64(perSecond), tokens: float64(perSecond), at: time.Now()}
}

func (r *rate) take() bool {
	now := time.Now()
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.at).Seconds()*r.perSecond)
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
