package model

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a configuration that is accepted without a reported problem
// although one of its routes cannot be served as configured.
func TestRouteProblems(t *testing.T) {
	valid := Route{
		Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Shares: []Share{{Service: "s", Weight: 1}},
	}
	sharded := Route{
		Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
		Shards: []ServiceName{"s", "t"}, TopK: 3, MinCoverage: 0.5,
	}
	for _, c := range []struct {
		name   string
		change func(*Route)
		base   Route
		want   string
	}{
		{name: "valid", base: valid},
		{name: "valid with shards", base: sharded},
		{name: "no name", base: valid, change: func(r *Route) { r.Name = "" }, want: `route "" of host "h": the name is empty`},
		{name: "prefix", base: valid, change: func(r *Route) { r.Prefix = "/a" }, want: "begin and end with a slash"},
		{name: "timeout", base: valid, change: func(r *Route) { r.Timeout = 0 }, want: "timeout must be positive"},
		{name: "target", base: valid, change: func(r *Route) { r.TargetLatency = 0 }, want: "target latency must be positive"},
		{name: "late target", base: valid, change: func(r *Route) { r.TargetLatency = 2 * time.Second }, want: "longer than the timeout"},
		{name: "both", base: sharded, change: func(r *Route) { r.Shares = valid.Shares }, want: "only one of them"},
		{name: "weights", base: valid, change: func(r *Route) { r.Shares = []Share{{Service: "s"}} }, want: "a positive weight"},
		{name: "negative", base: valid, change: func(r *Route) { r.Shares = []Share{{"s", 2}, {"t", -1}} }, want: "negative weight"},
		{name: "twice", base: sharded, change: func(r *Route) { r.Shards = []ServiceName{"s", "s"} }, want: "listed twice"},
		{name: "records", base: sharded, change: func(r *Route) { r.TopK = 0 }, want: "number of records must be positive"},
		{name: "coverage", base: sharded, change: func(r *Route) { r.MinCoverage = 1.5 }, want: "from 0 to 1"},
		{name: "unknown", base: valid, change: func(r *Route) { r.Shares = []Share{{"x", 1}} }, want: `service "x" is not in the list`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := c.base
			if c.change != nil {
				c.change(&r)
			}
			got := NewConfiguration(1, []Route{r}, []Service{{Name: "s"}, {Name: "t"}}, Limits{}).Problems()
			if c.want == "" {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(len(got), 1)
			is.True(strings.Contains(got[0], c.want))
		})
	}
}

// Guards against problems of a service, of the limits or of two conflicting
// routes that are not reported because only single routes are checked.
func TestConfigurationProblems(t *testing.T) {
	is := is.New(t)
	r := Route{
		Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, TargetLatency: time.Millisecond,
		Shares: []Share{{Service: "s", Weight: 1}},
	}
	other := r
	other.Name = "b"
	got := NewConfiguration(1, []Route{r, other}, []Service{{Name: "s", ConnectionCap: -1}}, Limits{BodyBytes: -1}).Problems()
	is.Equal(got, []string{
		`service "s": the connection cap is negative`,
		`route "b" of host "h": route "a" has the same prefix "/a/"`,
		"limits: the body size limit is negative",
	})
}
