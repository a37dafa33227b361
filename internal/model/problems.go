package model

import (
	"fmt"
	"strings"
)

// Problems validates the configuration and returns one message for each problem,
// with the route, service or section that has it. A route with a problem is still
// served as far as possible.
func (c Configuration) Problems() []string {
	var list []string
	for _, s := range c.Services() {
		subject := fmt.Sprintf("service %q", s.Name)
		list = append(list, violations(subject, []rule{
			{s.Name == "", "the name is empty"},
			{s.ConnectionCap < 0, "the connection cap is negative"},
		})...)
	}
	seen := map[[2]string]string{}
	for _, r := range c.Routes() {
		subject := fmt.Sprintf("route %q of host %q", r.Name, r.Host)
		list = append(list, violations(subject, r.rules())...)
		for _, s := range r.services() {
			if _, ok := c.Service(s); !ok {
				list = append(list, fmt.Sprintf("%s: service %q is not in the list of services", subject, s))
			}
		}
		key := [2]string{r.Host, r.Prefix}
		if other, ok := seen[key]; ok {
			list = append(list, fmt.Sprintf("%s: route %q has the same prefix %q", subject, other, r.Prefix))
		}
		seen[key] = r.Name
	}
	l := c.Limits
	return append(list, violations("limits", []rule{
		{l.HeaderBytes < 0, "the header size limit is negative"},
		{l.BodyBytes < 0, "the body size limit is negative"},
		{l.HeaderTimeout < 0, "the header timeout is negative"},
		{l.IdleTimeout < 0, "the idle timeout is negative"},
	})...)
}

// rule is the result of one validation, with the message for a violation.
type rule struct {
	violated bool
	message  string
}

func violations(subject string, rules []rule) []string {
	var list []string
	for _, r := range rules {
		if r.violated {
			list = append(list, subject+": "+r.message)
		}
	}
	return list
}

// rules checks the route without regard to other routes and services.
func (r Route) rules() []rule {
	weight, negative, repeated := 0.0, false, false
	for _, s := range r.Shares {
		weight += s.Weight
		negative = negative || s.Weight < 0
	}
	seen := map[ServiceName]bool{}
	for _, s := range r.Shards {
		repeated = repeated || seen[s]
		seen[s] = true
	}
	return []rule{
		{r.Name == "", "the name is empty"},
		{!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"), "the prefix must begin and end with a slash"},
		{r.Timeout <= 0, "the timeout must be positive"},
		{r.TargetLatency <= 0, "the target latency must be positive"},
		{r.Timeout > 0 && r.TargetLatency > r.Timeout, "the target latency is longer than the timeout"},
		{len(r.Shares) > 0 && len(r.Shards) > 0, "shares and shards are both set; only one of them may be set"},
		{negative || len(r.Shares) > 0 && weight <= 0, "a share must not have a negative weight, and at least one must have a positive weight"},
		{repeated, "a shard is listed twice"},
		{r.Sharded() && r.TopK <= 0, "the number of records must be positive"},
		{r.MinCoverage < 0 || r.MinCoverage > 1, "the minimum coverage must be from 0 to 1"},
	}
}

// services returns the names of all services that the route refers to.
func (r Route) services() []ServiceName {
	list := append([]ServiceName(nil), r.Shards...)
	for _, s := range r.Shares {
		list = append(list, s.Service)
	}
	return list
}
