// Package cataloger holds the configuration of a fleet as immutable values: routes, services,
// workspaces and limits.
package cataloger

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

type (
	// Kind is how the requests of a route may be repeated.
	Kind int

	// Catalog is one version of the configuration. It doesn't change once it is in force.
	Catalog struct {
		// Version orders catalogs: the one with the highest is in force.
		Version uint64
		// InForceSince is when it came into force on this host; zero before.
		InForceSince time.Time
		// Services holds the services by name.
		Services map[string]Service
		// Limits bounds what a client may send.
		Limits Limits
		// KeyRequired is set if requests need an API key.
		KeyRequired bool

		// routes holds the routes by host name in lower case, those of each host name with the
		// longest prefix first.
		routes map[string][]Route
		// keys holds the workspace of each API key.
		keys map[string]Workspace
	}

	// Route is how the requests to a host name and path prefix are served.
	Route struct {
		Name string
		// Host is the host name in the request, in any case. PathPrefix begins and ends with a
		// slash.
		Host       string
		PathPrefix string
		Kind       Kind
		// Timeout bounds the time from a request's arrival to the end of its response, and is
		// above 0. Objective is the target for the time to the first byte of an answer, Gap that
		// for the pause between events.
		Timeout   time.Duration
		Objective time.Duration
		Gap       time.Duration
		// Priority is the priority of its requests; 0 is the highest.
		Priority int
		// Split divides the requests between services; the weights add up to more than 0.
		Split []Share
		// Attempts is the number of backend servers that may run one idempotent request, at
		// least 1.
		Attempts int
		// Public routes need no API key.
		Public bool
		// Resumable is set if another backend server may continue a generation after the last
		// event that its client has. Such generations may run more than once.
		Resumable bool
		// Regions holds the only regions in which requests may be served; empty for all.
		Regions []string
	}

	// Share is the part of a route's requests that goes to a service.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of backend servers that answer the same requests.
	Service struct {
		Name string
		// MaxConnections bounds the connections of all hosts to one backend server.
		MaxConnections int
		// WarmUp bounds the requests to backend servers that have just started.
		WarmUp WarmUp
		// Engine holds the parameters of a service that generates tokens; nil for other services.
		Engine *Engine
	}

	// WarmUp is how many requests a backend server takes while it is cold. The zero value sets no
	// bound.
	WarmUp struct {
		// Time is how long a backend server is cold after its start.
		Time time.Duration
		// PerSecond is the number of requests a second that it takes meanwhile; 0 sets no bound.
		PerSecond float64
	}

	// Engine describes how a model engine batches and how its KV cache can be moved.
	Engine struct {
		// Slots is the number of generations in a batch; 0 if the engines report it.
		Slots int
		// Tokens is the size of the KV cache in tokens, TokenBytes the size of one token there.
		Tokens     int
		TokenBytes int64
		// LinkMbps is the bandwidth for transfers of KV cache between engines, in Mbit/s; 0 if
		// it is unknown.
		LinkMbps float64
		// Moves and Backups are set if the engine can move the KV cache of a generation, and if
		// it can keep a copy on another engine.
		Moves   bool
		Backups bool
		// TokensPerEvent is the number of tokens in one event of a stream.
		TokensPerEvent int
		// CopyLifetime is how long an engine keeps a copy that is neither used nor released.
		CopyLifetime time.Duration
	}

	// Limits bounds what a client may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Workspace holds API keys, each of which gives access to all routes, and the priority of the
	// requests with these keys.
	Workspace struct {
		Name string
		Keys []string
		// Priority takes precedence over a route's if HasPriority is set.
		Priority    int
		HasPriority bool
		// Regions holds the only regions in which its requests may be served; empty for all. A
		// route's regions bind as well.
		Regions []string
	}
)

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are generations, which run at most once and answer in events.
	Stream
)

// New returns a catalog, or all findings about its parts joined as one error. Each finding
// begins with the JSON pointer of its part.
func New(version uint64, routes []Route, services []Service, limits Limits, workspaces []Workspace, keyRequired bool) (*Catalog, error) {
	c := &Catalog{
		Version: version, Limits: limits, KeyRequired: keyRequired, Services: make(map[string]Service, len(services)),
		routes: make(map[string][]Route), keys: make(map[string]Workspace),
	}
	var findings []error
	for i, s := range services {
		if s.Name == "" {
			findings = append(findings, fmt.Errorf("/services/%d: has no name", i))
		}
		if _, ok := c.Services[s.Name]; ok {
			findings = append(findings, fmt.Errorf("/services/%d: name %q stands twice", i, s.Name))
		}
		c.Services[s.Name] = s
	}
	for i, r := range routes {
		findings = append(findings, c.addRoute(i, r)...)
	}
	for i, w := range workspaces {
		findings = append(findings, checkRegions(fmt.Sprintf("/workspaces/%d", i), w.Regions)...)
		for _, key := range w.Keys {
			if _, ok := c.keys[key]; ok {
				findings = append(findings, fmt.Errorf("/workspaces/%d: shares a key", i))
			}
			c.keys[key] = w
		}
	}
	if len(findings) > 0 {
		return nil, errors.Join(findings...)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c, nil
}

// Match returns the route of host with the longest prefix of path, and whether there is one.
func (c *Catalog) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds an API key, and whether there is one.
func (c *Catalog) Workspace(key string) (Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// Pick returns the service for a request, chosen by point, which is at least 0 and below 1.
func (r Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// addRoute adds the route at index i of the configuration and returns the findings about it.
func (c *Catalog) addRoute(i int, r Route) []error {
	var findings []error
	addFinding := func(format string, args ...any) {
		findings = append(findings, fmt.Errorf("/routes/%d%s", i, fmt.Sprintf(format, args...)))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		addFinding("/pathPrefix: %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		addFinding("/timeout: is not above 0")
	}
	findings = append(findings, checkRegions(fmt.Sprintf("/routes/%d", i), r.Regions)...)
	total := 0
	for _, s := range r.Split {
		if _, ok := c.Services[s.Service]; !ok {
			addFinding("/split: names unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			addFinding("/split: weight %d is below 0", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		addFinding("/split: weights add up to %d", total)
	}
	host := strings.ToLower(r.Host)
	for _, other := range c.routes[host] {
		if other.PathPrefix == r.PathPrefix {
			addFinding(": host and prefix are those of route %q", other.Name)
		}
	}
	c.routes[host] = append(c.routes[host], r)
	return findings
}
