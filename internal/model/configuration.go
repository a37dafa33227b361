package model

import (
	"slices"
	"strings"
	"time"
)

// Share is a service with its part of the requests of a route.
type Share struct {
	Service ServiceName
	// Weight is relative to the other shares of the route, at least 0.
	Weight float64
}

// Route tells how requests below a prefix of a host are served. Exactly one of
// Shards and Shares is set.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// Attempts is the largest number of searchers that may run one request; for
	// a route with shards, of each shard.
	Attempts int
	// Priority orders routes under contention; 0 goes first.
	Priority int
	// Shares are the services of a request that one searcher serves.
	Shares []Share
	// Shards are the services of which each serves one part of the answer.
	Shards []ServiceName
	// TopK is the number of records in a merged answer.
	TopK int
	// MinCoverage is the smallest share of shards, 0 to 1, in an answer.
	MinCoverage float64
}

// Sharded reports whether a request goes to every shard.
func (r Route) Sharded() bool { return len(r.Shards) > 0 }

// RequiredShards returns the number of shards that an answer must have, at least 1.
func (r Route) RequiredShards() int {
	n := len(r.Shards)
	for k := 1; k <= n; k++ {
		if float64(k) >= r.MinCoverage*float64(n) {
			return k
		}
	}
	return max(n, 1)
}

// Service holds what all searchers of a service have in common.
type Service struct {
	Name ServiceName
	// ConnectionCap is the number of connections that each searcher accepts from
	// all entry hosts together; 0 if it is not stated.
	ConnectionCap int
	// HealthPath is the path of the health check.
	HealthPath string
}

// Limits bound what a caller may send. A zero value is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators have set: routes, services and
// limits. It is never changed after NewConfiguration.
type Configuration struct {
	Version      Revision
	Limits       Limits
	services     map[ServiceName]Service
	routesByHost map[string][]Route
	routeCount   int
}

// NewConfiguration returns a configuration. Routes of one host are ordered by
// the length of their prefix, longest first.
func NewConfiguration(version Revision, routes []Route, services []Service, limits Limits) Configuration {
	c := Configuration{
		Version: version, Limits: limits, routeCount: len(routes),
		services: make(map[ServiceName]Service, len(services)), routesByHost: map[string][]Route{},
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Loaded reports whether the configuration was ever read.
func (c Configuration) Loaded() bool { return c.services != nil }

// Len returns the number of routes.
func (c Configuration) Len() int { return c.routeCount }

// Route returns the route with the longest prefix of a path.
func (c Configuration) Route(host, path string) (Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns a service by name.
func (c Configuration) Service(name ServiceName) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services in the order of their names.
func (c Configuration) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Routes returns all routes in the order of host and name.
func (c Configuration) Routes() []Route {
	list := make([]Route, 0, c.routeCount)
	for _, routes := range c.routesByHost {
		list = append(list, routes...)
	}
	slices.SortFunc(list, func(a, b Route) int {
		if d := strings.Compare(a.Host, b.Host); d != 0 {
			return d
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}
