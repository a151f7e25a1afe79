// Package cataloger holds the configuration of a fleet as immutable values: which
// requests go to which service, for which workspaces, within which limits.
package cataloger

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

type (
	// Kind says what may be repeated of a route's requests.
	Kind int

	// Catalog is one version of the configuration. It is never changed once made.
	Catalog struct {
		// Version orders catalogs: the highest is in force.
		Version uint64
		// Services are known by name.
		Services map[string]Service
		// Limits bound what a client may send.
		Limits Limits
		// Keyed is set when requests need a key.
		Keyed bool

		// routes holds the routes of a host, longest prefix first.
		routes map[string][]Route
		// keys holds the workspace of each key.
		keys map[string]Workspace
	}

	// Route says how the requests of a host and path prefix are served.
	Route struct {
		Name       string
		Host       string
		PathPrefix string
		Kind       Kind
		// Timeout bounds how long a client is kept waiting, Objective the time to
		// the first byte of an answer that is on time, Gap the pause between events.
		Timeout   time.Duration
		Objective time.Duration
		Gap       time.Duration
		// Priority is the rank of its requests; 0 is the highest.
		Priority int
		// Split gives each service's share of the requests; its weights add up to more than 0.
		Split []Share
		// Attempts is how many backend servers one request may be sent to, at least 1.
		Attempts int
		// Public routes need no key.
		Public bool
	}

	// Share is a service's part of a route's requests.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of backend servers that answer the same requests.
	Service struct {
		Name string
		// MaxConnections bounds the connections to one backend server from all hosts.
		MaxConnections int
		// Engine is set for services that generate tokens.
		Engine *Engine
	}

	// Engine says how a model engine batches and what it can do.
	Engine struct {
		// Slots is how many generations run at once.
		Slots int
		// Tokens is how many tokens fit its memory; TokenBytes is the size of one.
		Tokens     int
		TokenBytes int64
		// LinkMbps is the bandwidth at which memory moves between engines.
		LinkMbps float64
		// Moves and Backups tell which ways of moving memory the engine offers.
		Moves   bool
		Backups bool
		// Stride is how many tokens one event of a stream holds.
		Stride int
		// CopyLife is how long an engine keeps a copy that nobody uses or gives back.
		CopyLife time.Duration
	}

	// Limits bound what a client may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Workspace is a customer whose keys open routes.
	Workspace struct {
		Name string
		Keys []string
		// Priority takes precedence over a route's where HasPriority is set.
		Priority    int
		HasPriority bool
	}
)

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once is for requests that may run at most once.
	Once
	// Stream is for generations, which run at most once and answer in events.
	Stream
)

// New returns a catalog, or all findings about it joined.
func New(version uint64, routes []Route, services []Service, limits Limits, workspaces []Workspace, keyed bool) (*Catalog, error) {
	c := &Catalog{
		Version: version, Limits: limits, Keyed: keyed, Services: make(map[string]Service, len(services)),
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

// Match returns the route with the longest prefix of path among those of host.
func (c *Catalog) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds a key.
func (c *Catalog) Workspace(key string) (Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// Pick returns the service of a request by a number from 0 up to 1.
func (r Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := point * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// addRoute checks a route against those before it and takes it in.
func (c *Catalog) addRoute(i int, r Route) []error {
	var findings []error
	at := func(format string, args ...any) {
		findings = append(findings, fmt.Errorf("/routes/%d%s", i, fmt.Sprintf(format, args...)))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		at("/pathPrefix: %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		at("/timeout: is not above 0")
	}
	total := 0
	for _, s := range r.Split {
		if _, ok := c.Services[s.Service]; !ok {
			at("/split: names unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			at("/split: weight %d is below 0", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		at("/split: weights add up to %d", total)
	}
	host := strings.ToLower(r.Host)
	for _, other := range c.routes[host] {
		if other.PathPrefix == r.PathPrefix {
			at(": host and prefix are those of route %q", other.Name)
		}
	}
	c.routes[host] = append(c.routes[host], r)
	return findings
}
