package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with the seconds since
// the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// say adds a line to the record and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}
