package load

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/stand/plat"
)

const (
	// outageDuration is the length of each outage of the platform, and recoveryPause
	// the pause between two faults.
	outageDuration = 5 * time.Second
	recoveryPause  = 5 * time.Second
)

// Soak returns a function for Run.InjectFaults that alternates outages of the platform
// with replacements of entry hosts, one at a time, and reports heap size and goroutines
// after each replacement.
func Soak(w io.Writer) func(context.Context, *devel.Site) {
	return func(ctx context.Context, site *devel.Site) {
		for n := 1; ctx.Err() == nil; n++ {
			sleep(ctx, recoveryPause)
			site.Platform().SetFaults(plat.Faults{Down: true})
			sleep(ctx, outageDuration)
			site.Platform().SetFaults(plat.Faults{})
			sleep(ctx, recoveryPause)
			if ctx.Err() != nil {
				return
			}
			// Complete a replacement even if ctx ends, so that no host is missing.
			if err := site.ReplaceOldestHost(context.WithoutCancel(ctx)); err != nil {
				_, _ = fmt.Fprintln(w, "soak: replacement failed:", err)
			}
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			_, _ = fmt.Fprintf(w, "soak: %d hosts replaced, %.1f MB of heap, %d goroutines\n",
				n, float64(stats.HeapAlloc)/(1<<20), runtime.NumGoroutine())
		}
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
