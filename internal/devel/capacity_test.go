package devel_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

var capacity = flag.Bool("capacity", false, "measure processor time and memory for docs/CAPACITY.md")

// clockTickMillis is the duration of a clock tick, the unit of processor time in
// /proc.
const clockTickMillis = 10

// processUsage returns the processor time and the resident memory of a process.
func processUsage(t *testing.T, pid int) (cpu time.Duration, residentBytes int) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	// utime, stime and rss are the fields 14, 15 and 24 of proc_pid_stat(5); the
	// slice starts at field 3, the state.
	ticks := number(11) + number(12)
	return time.Duration(ticks) * clockTickMillis * time.Millisecond, number(21) * os.Getpagesize()
}

// TestCapacityTraffic measures the memory of an entry host and its processor
// time for each searcher call, for queries over different numbers of shards.
func TestCapacityTraffic(t *testing.T) {
	if !*capacity {
		t.Skip("runs only with -capacity")
	}
	for _, n := range []int{21, 42, 84} {
		var perCall, memory []float64
		for range 5 {
			c, m := measureTraffic(t, n)
			perCall, memory = append(perCall, c), append(memory, m)
		}
		slices.Sort(perCall)
		slices.Sort(memory)
		t.Logf("shards %d: processor time per call %.0f us (%.0f to %.0f), resident %.1f MB (%.1f to %.1f)",
			n, perCall[2], perCall[0], perCall[4], memory[2], memory[0], memory[4])
	}
}

func measureTraffic(t *testing.T, shards int) (microsPerCall, megabytes float64) {
	t.Helper()
	const queries, workers, warmUpQueries = 400, 8, 20
	is := is.New(t)
	records, err := corpus.GenerateFor(1, shards*20, "jury-desk")
	is.NoErr(err)
	site := devel.NewSite(records)
	site.ExternalHosts = true
	site.Plans = []fleet.Plan{{Service: "jury-desk", Shards: shards, Replicas: 2, Slots: 16, ConnectionCap: 25}}
	is.NoErr(site.Run(t.Context()))
	defer func() { _ = site.Close() }()
	p := startProcesses(t, site, devel.DefaultDomains[:1])[0]
	defer p.kill()
	// The host becomes ready before it holds a seat of the service, so that the
	// first searches may be refused.
	for deadline, answered := time.Now().Add(recoveryTimeout), 0; answered < warmUpQueries; {
		if _, err = searchCraft(p.address, "pottery", 10*time.Second); err == nil {
			answered++
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	before, _ := processUsage(t, p.command.Process.Pid)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range queries / workers {
				if _, err := searchCraft(p.address, "pottery", 10*time.Second); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	after, resident := processUsage(t, p.command.Process.Pid)
	return float64((after - before).Microseconds()) / float64(queries*shards), float64(resident) / (1 << 20)
}
