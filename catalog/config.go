package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Share is one destination of a route.
type Share struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the other shares; at least 0.
	Weight float64 `json:"weight"`
}

// Route says where requests of a host and path prefix go and what is allowed
// with them.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time a caller is kept waiting; 0 for no bound.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency within which a response has its full value.
	Objective time.Duration `json:"objective"`
	// Attempts is the most backend servers that may run one request; at least 1.
	Attempts int `json:"attempts"`
	// Priority is the rank of the route, 0 is the most important.
	Priority int `json:"priority"`
	// Shares has at least one entry.
	Shares []Share `json:"shares"`
}

// Service is what the configuration says of a service.
type Service struct {
	Name string `json:"name"`
	// Health is the path of the health check.
	Health string `json:"health"`
	// Connections is the most connections that a backend server accepts; 0
	// where it is not known.
	Connections int `json:"connections"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// Header and Body are in bytes.
	Header int   `json:"header"`
	Body   int64 `json:"body"`
	// Reading bounds the reading of a request's headers, Idle the time between
	// two requests of a connection.
	Reading time.Duration `json:"reading"`
	Idle    time.Duration `json:"idle"`
}

// Document is a configuration as nodes pass it on.
type Document struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Config is an immutable configuration that is ready for matching.
type Config struct {
	document Document
	// byHost holds the routes of a host, longest prefix first.
	byHost map[string][]*Route
	// first and last are the smallest and the largest priority of a route.
	first, last int
}

// NewConfig prepares a document, which must not be changed afterwards.
func NewConfig(d Document) *Config {
	c := &Config{document: d, byHost: make(map[string][]*Route)}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		if i == 0 {
			c.first, c.last = r.Priority, r.Priority
		}
		c.first, c.last = min(c.first, r.Priority), max(c.last, r.Priority)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Document returns the parts, for encoding.
func (c *Config) Document() Document { return c.document }

// Version returns the version number; a larger one is newer.
func (c *Config) Version() uint64 { return c.document.Version }

// Limits returns the bounds on callers.
func (c *Config) Limits() Limits { return c.document.Limits }

// Priorities returns the smallest and the largest priority of a route.
func (c *Config) Priorities() (first, last int) { return c.first, c.last }

// Match returns the route with the longest prefix that begins the path, nil
// where none does. host may have a port; path is compared byte for byte.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
