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

// Route defines where requests for a host and path prefix go, and how they may
// be run.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent is set if requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds how long a caller waits for a response; 0 for no bound.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the latency up to which a response has its full value.
	LatencyObjective time.Duration `json:"objective"`
	// MaxAttempts bounds the backend servers that may run one request; at least 1.
	MaxAttempts int `json:"attempts"`
	// Priority is the rank of the route; 0 is the highest priority.
	Priority int `json:"priority"`
	// Shares has at least one entry.
	Shares []Share `json:"shares"`
}

// Service is the configuration of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the URL path of the health check.
	HealthPath string `json:"health"`
	// MaxConnections bounds the connections that a backend server accepts; 0 if
	// unknown.
	MaxConnections int `json:"connections"`
}

// Limits bound the size of callers' requests and the time to send them.
type Limits struct {
	MaxHeaderBytes int   `json:"header"`
	MaxBodyBytes   int64 `json:"body"`
	// HeaderTimeout bounds reading a request's headers, IdleTimeout the time
	// between two requests of a connection.
	HeaderTimeout time.Duration `json:"reading"`
	IdleTimeout   time.Duration `json:"idle"`
}

// Document is a configuration in the form that nodes exchange.
type Document struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Config is an immutable configuration, indexed for matching.
type Config struct {
	document Document
	// byHost holds the routes of each lower-case host, longest prefix first.
	byHost map[string][]*Route
	// minPriority and maxPriority are the smallest and largest Route.Priority.
	minPriority, maxPriority int
}

// NewConfig indexes a document, which must not be changed afterwards.
func NewConfig(doc Document) *Config {
	c := &Config{document: doc, byHost: make(map[string][]*Route)}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		if i == 0 {
			c.minPriority, c.maxPriority = r.Priority, r.Priority
		}
		c.minPriority, c.maxPriority = min(c.minPriority, r.Priority), max(c.maxPriority, r.Priority)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Document returns the document, for encoding.
func (c *Config) Document() Document { return c.document }

// Version returns the version number; a larger one is newer.
func (c *Config) Version() uint64 { return c.document.Version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.document.Limits }

// Priorities returns the smallest and largest Route.Priority.
func (c *Config) Priorities() (minPriority, maxPriority int) { return c.minPriority, c.maxPriority }

// Match returns the host's route with the longest prefix of path, or nil if
// there is none. host may include a port; path is compared byte by byte.
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
