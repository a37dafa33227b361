package model

import (
	"slices"
	"strings"
	"time"
)

// Share is the part of the requests of a route that one service serves.
type Share struct {
	Service ServiceName
	// Weight is relative to the other shares of the route and at least 0.
	Weight float64
}

// Route defines how requests to a host below a path prefix are served. Exactly one
// of Shards and Shares is set.
// Hosts send each other routes, limits and shares as JSON with the names of the
// fields; tags keep the names that hosts of earlier versions read.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// TargetLatency is the latency up to which an answer has its full value to
	// the caller.
	TargetLatency time.Duration `json:"Target"`
	// Attempts is the maximum number of searchers that may run one request, or,
	// on a route with shards, one part of a request.
	Attempts int
	// Priority orders routes under contention; 0 is the highest priority.
	Priority int `json:"Rank"`
	// Shares lists the services among which whole requests are split. One
	// searcher serves a request.
	Shares []Share
	// Shards lists the services that each serve one part of every answer.
	Shards []ServiceName
	// TopK is the maximum number of records in a merged answer.
	TopK int `json:"Keep"`
	// MinCoverage is the minimum share of shards in an answer, from 0 to 1.
	MinCoverage float64
}

// Sharded reports whether a request goes to every shard.
func (r Route) Sharded() bool { return len(r.Shards) > 0 }

// RequiredShards returns the number of shards that an answer must include, at
// least 1.
func (r Route) RequiredShards() int {
	n := len(r.Shards)
	for k := 1; k <= n; k++ {
		if float64(k) >= r.MinCoverage*float64(n) {
			return k
		}
	}
	return max(n, 1)
}

// Service holds the settings shared by all searchers of a service.
type Service struct {
	Name ServiceName
	// ConnectionCap is the number of connections that each searcher accepts from
	// all entry hosts together, or 0 if it is not configured.
	ConnectionCap int
	// HealthPath is the URL path of the health check.
	HealthPath string
}

// Limits bound the requests of callers. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routes, services and limits that operators
// have set. It is immutable.
type Configuration struct {
	Version      Revision
	Limits       Limits
	services     map[ServiceName]Service
	routesByHost map[string][]Route
	routeCount   int
}

// NewConfiguration returns a configuration. The routes of each host are sorted by
// prefix length, longest first, so that Route finds the longest match first.
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

// Loaded reports whether the configuration has been read. It is false for the
// zero value.
func (c Configuration) Loaded() bool { return c.services != nil }

// Len returns the number of routes.
func (c Configuration) Len() int { return c.routeCount }

// Route returns the route of a host with the longest prefix that matches a path.
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

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Routes returns all routes, sorted by host and name.
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
