package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: one line for each event, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) close() { _ = r.file.Close() }
