package ctrl_test

import (
	"flag"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
)

var (
	scale     = flag.Bool("scale", false, "measure control with 7, 50 and 300 hosts")
	scaleRuns = flag.Int("scaleRuns", 5, "runs of the measurement for each number of hosts")
)

// encodeAndDecode encodes and decodes a message and returns its encoded size in
// bytes, without the framing of drpc and TCP.
func encodeAndDecode(message any) (any, int) {
	switch m := message.(type) {
	case ctrl.Gossip:
		var out peer.Gossip
		size := marshal(wire.EncodeGossip(m), &out)
		return wire.DecodeGossip(&out), size
	case ctrl.AnswerProbe:
		var out peer.ProbeResponse
		size := marshal(&peer.ProbeResponse{Gossip: wire.EncodeGossip(m.Gossip), Reached: m.Reached}, &out)
		m.Gossip = wire.DecodeGossip(out.GetGossip())
		return m, size
	case model.Member:
		var out peer.Member
		size := marshal(wire.EncodeMember(m), &out)
		return wire.DecodeMember(&out), size
	case ctrl.AnswerMembers:
		var out peer.MembersResponse
		size := marshal(&peer.MembersResponse{Members: wire.EncodeMembers(m.Members)}, &out)
		m.Members = wire.DecodeMembers(out.GetMembers())
		return m, size
	case spread.Bundle:
		return m, marshal(pullRequest(m), &peer.PullRequest{})
	case pullResult:
		return m, marshal(wire.PullResponse(m.bundle, m.digest, pullRequest(m.base)), &peer.PullResponse{})
	default:
		return m, 0
	}
}

func pullRequest(b spread.Bundle) *peer.PullRequest {
	return &peer.PullRequest{
		SettingsRevision: uint64(b.Revision), IndexVersion: b.IndexVersion, LeavingStamp: b.Leaving.Stamp,
	}
}

func marshal(in, out proto.Message) int {
	data, err := proto.Marshal(in)
	if err == nil {
		err = proto.Unmarshal(data, out)
	}
	if err != nil {
		panic(err)
	}
	return len(data)
}

// measurement holds the results of one run.
type measurement struct {
	median, slowest time.Duration // from acceptance until in force at the last host
	waiting, calls  float64       // platform: watches waiting, calls per second
	messages, bytes float64       // sent per host and second
	cpu             time.Duration // per host and second, including the simulation
	memory          float64       // bytes per host
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func measure(seed uint64, hosts int) measurement {
	const (
		changes  = 20
		interval = 2 * time.Second // 0.5 changes per second; the target is 0.57
	)
	before := heapInUse()
	s := newSim(seed, 3, hosts)
	s.encode, s.loss = encodeAndDecode, 0.05
	reached := map[model.Revision]int{}
	var latencies []time.Duration
	s.published = func(n *node, v view.View) {
		for r := n.view.Revision + 1; r <= v.Revision; r++ {
			if reached[r]++; reached[r] == hosts {
				latencies = append(latencies, s.now.Sub(s.platform.accepted[r]))
			}
		}
	}
	s.platform.accept()
	s.platform.publishIndex()
	s.startAll()
	s.run(60 * time.Second)
	latencies = nil
	s.messages, s.bytes, s.platform.reads, s.platform.watches = 0, 0, 0, 0
	cpu := cpuTime()
	for range changes {
		s.platform.accept()
		s.run(interval)
	}
	cpu = cpuTime() - cpu
	s.run(10 * time.Second)
	hostSeconds := float64(hosts) * (changes*interval + 10*time.Second).Seconds()
	slices.Sort(latencies)
	m := measurement{
		median: latencies[len(latencies)/2], slowest: latencies[len(latencies)-1], waiting: float64(2 * len(s.platform.waiting)),
		calls:    float64(s.platform.reads+s.platform.watches) / (changes*interval + 10*time.Second).Seconds(),
		messages: float64(s.messages) / hostSeconds, bytes: float64(s.bytes) / hostSeconds,
		cpu: time.Duration(float64(cpu) / float64(hosts) / (changes * interval).Seconds()),
	}
	if len(latencies) < changes {
		m.slowest = time.Hour // a revision did not reach all hosts
	}
	m.memory = (heapInUse() - before) / float64(hosts)
	runtime.KeepAlive(s)
	return m
}

func median[T any](list []measurement, value func(measurement) T, less func(a, b T) int) (mid, low, high T) {
	values := make([]T, 0, len(list))
	for _, m := range list {
		values = append(values, value(m))
	}
	slices.SortFunc(values, less)
	return values[len(values)/2], values[0], values[len(values)-1]
}

// TestScale prints the measurements of package ctrl for docs/measurements.md:
//
//	go test ./internal/ctrl -run TestScale -scale -v
func TestScale(t *testing.T) {
	if !*scale {
		t.Skip("runs with -scale")
	}
	for _, hosts := range []int{7, 50, 300} {
		var list []measurement
		for run := range *scaleRuns {
			list = append(list, measure(uint64(100+run), hosts))
		}
		logValue := func(name, unit string, value func(measurement) float64) {
			mid, low, high := median(list, value, func(a, b float64) int { return int(1e6*a) - int(1e6*b) })
			t.Logf("%3d hosts: %-36s %10.2f %s (%.2f to %.2f)", hosts, name, mid, unit, low, high)
		}
		ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
		logValue("in force at the last host, typical", "ms", func(m measurement) float64 { return ms(m.median) })
		logValue("in force at the last host, slowest", "ms", func(m measurement) float64 { return ms(m.slowest) })
		logValue("watches waiting", "", func(m measurement) float64 { return m.waiting })
		logValue("platform calls begun", "/s", func(m measurement) float64 { return m.calls })
		logValue("messages of a host", "/s", func(m measurement) float64 { return m.messages })
		logValue("bytes of a host", "B/s", func(m measurement) float64 { return m.bytes })
		logValue("processor time of a host", "ms/s", func(m measurement) float64 { return ms(m.cpu) })
		logValue("memory of a host", "KB", func(m measurement) float64 { return m.memory / 1024 })
	}
}
