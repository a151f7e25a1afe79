// Package placer decides which models, adapters and versions are loaded on
// which backend servers. It follows demand slowly, since weights come from a
// rate-limited store, and keeps enough capacity for the loss of a failure domain.
package placer

import (
	"cmp"
	"slices"
	"time"
)

// Kinds of steps.
const (
	// Load asks the server to load the model.
	Load Kind = "loadModel"
	// Drain asks that no new work for the model goes to the server.
	Drain Kind = "drain"
	// Unload asks the server to unload the model; nothing runs on it any more.
	Unload Kind = "unloadModel"
)

type (
	// Kind says what a step does.
	Kind string

	// Model is a model with its adapter and version if any.
	Model struct {
		Model   string
		Adapter string
		Version string
	}

	// Server is an engine as it stands.
	Server struct {
		Name          string
		FailureDomain string
		// Slots is how many models fit at once; at least 1.
		Slots  int
		Loaded []Model
		// Running counts the generations in progress by model.
		Running map[Model]int
		// TokensPerSecond is what the server makes at full load.
		TokensPerSecond float64
		// Leaving servers get no model and count for nothing.
		Leaving bool
	}

	// Step is something to be done now. The same step is given again until the
	// servers show that it is done.
	Step struct {
		Kind   Kind
		Server string
		Model  Model
	}

	// Settings of a Placer.
	Settings struct {
		// Busy and Idle are the shares of capacity above and below which a model's
		// capacity changes, after UpAfter and DownAfter.
		Busy      float64
		Idle      float64
		UpAfter   time.Duration
		DownAfter time.Duration
		// RiseHalfLife and FallHalfLife smooth the demand.
		RiseHalfLife time.Duration
		FallHalfLife time.Duration
		// MaxLoads bounds the loads at one time, for the sake of the weight store.
		MaxLoads int
		// LoadTimeout is after how long a load is given up and may go elsewhere.
		LoadTimeout time.Duration
	}

	// Placer plans changes. It isn't safe for concurrent use.
	Placer struct {
		settings Settings
		demand   map[Model]*rate
		// changes are in progress, by server: one at a time on each.
		changes map[string]*change
	}

	// change brings a model to a server, if need be in place of another.
	change struct {
		load Model
		// victim leaves for it; the zero Model if there is room.
		victim Model
		since  time.Time
	}
)

// DefaultSettings returns settings for loads that take minutes.
func DefaultSettings() Settings {
	return Settings{
		Busy:         0.75,
		Idle:         0.4,
		UpAfter:      time.Minute,
		DownAfter:    10 * time.Minute,
		RiseHalfLife: time.Minute,
		FallHalfLife: 5 * time.Minute,
		MaxLoads:     2,
		LoadTimeout:  10 * time.Minute,
	}
}

// New returns a placer that has seen no demand.
func New(s Settings) *Placer {
	return &Placer{settings: s, demand: make(map[Model]*rate), changes: make(map[string]*change)}
}

// Observe takes the tokens that callers wanted of a model since the last call.
func (p *Placer) Observe(now time.Time, m Model, tokens float64) {
	r := p.demand[m]
	if r == nil {
		r = &rate{}
		p.demand[m] = r
	}
	r.observe(now, tokens, &p.settings)
}

// Plan returns what has to be done at now.
func (p *Placer) Plan(now time.Time, servers []Server) []Step {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	p.settle(now, servers)
	for _, m := range p.wanting(now, servers) {
		if len(p.changes) >= p.settings.MaxLoads {
			break
		}
		p.begin(now, m, servers)
	}
	var steps []Step
	for i := range servers {
		if c := p.changes[servers[i].Name]; c != nil {
			steps = append(steps, c.step(&servers[i]))
		}
	}
	return steps
}

// begin chooses a server that takes one more model, if any may.
func (p *Placer) begin(now time.Time, m Model, servers []Server) {
	var best *Server
	var bestVictim Model
	bestCost := 0.0
	for i := range servers {
		s := &servers[i]
		if s.Leaving || p.changes[s.Name] != nil || slices.Contains(s.Loaded, m) {
			continue
		}
		victim, cost, ok := p.victim(now, s, servers)
		if !ok {
			continue
		}
		cost += p.crowding(m, s.FailureDomain, servers)
		if best == nil || cost < bestCost {
			best, bestVictim, bestCost = s, victim, cost
		}
	}
	if best != nil {
		p.changes[best.Name] = &change{load: m, victim: bestVictim, since: now}
	}
}

// crowding returns the share of a model's capacity that lies in a failure domain.
func (p *Placer) crowding(m Model, domain string, servers []Server) float64 {
	all, there := 0.0, 0.0
	for i := range servers {
		if !p.counts(&servers[i], m) {
			continue
		}
		all += servers[i].TokensPerSecond
		if servers[i].FailureDomain == domain {
			there += servers[i].TokensPerSecond
		}
	}
	if all == 0 {
		return 0
	}
	return there / all
}

// counts tells whether a server serves a model, or is about to, and goes on so.
func (p *Placer) counts(s *Server, m Model) bool {
	if s.Leaving {
		return false
	}
	if c := p.changes[s.Name]; c != nil {
		return c.load == m || c.victim != m && slices.Contains(s.Loaded, m)
	}
	return slices.Contains(s.Loaded, m)
}

// missed tells whether a model that is about to leave a server is needed there
// after all.
func (p *Placer) missed(m Model, s *Server, servers []Server) bool {
	r := p.demand[m]
	return r != nil && slices.Contains(s.Loaded, m) && r.perSecond > p.settings.Busy*p.safe(m, servers)
}

// safe returns a model's capacity that is left when the failure domain with
// most of it goes. A server counts for each of its models in equal parts. While
// all servers are in one domain, the largest server stands for it.
func (p *Placer) safe(m Model, servers []Server) float64 {
	domains := make(map[string]float64)
	all, largest := 0.0, 0.0
	for i := range servers {
		if !p.counts(&servers[i], m) {
			continue
		}
		part := servers[i].TokensPerSecond / float64(max(len(servers[i].Loaded), 1))
		all += part
		largest = max(largest, part)
		domains[servers[i].FailureDomain] += part
	}
	if len(domains) < 2 {
		return all - largest
	}
	for _, lost := range domains {
		largest = max(largest, lost)
	}
	return all - largest
}

// settle ends the changes that are done or can't be done.
func (p *Placer) settle(now time.Time, servers []Server) {
	for name, c := range p.changes {
		i := slices.IndexFunc(servers, func(s Server) bool { return s.Name == name })
		done := i < 0 || servers[i].Leaving || slices.Contains(servers[i].Loaded, c.load)
		if done || now.Sub(c.since) > p.settings.LoadTimeout || p.missed(c.victim, &servers[i], servers) {
			delete(p.changes, name)
		}
	}
}

// surplus tells whether a model would have enough capacity for long without a
// server.
func (p *Placer) surplus(now time.Time, m Model, without *Server, servers []Server) bool {
	r := p.demand[m]
	if r == nil || r.lowSince.IsZero() || now.Sub(r.lowSince) < p.settings.DownAfter {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Name == without.Name })
	return r.perSecond <= p.settings.Busy*p.safe(m, rest)
}

// victim returns the model that would leave a server for another one, and what
// that costs: nothing where there is room.
func (p *Placer) victim(now time.Time, s *Server, servers []Server) (m Model, cost float64, ok bool) {
	if len(s.Loaded) < max(s.Slots, 1) {
		return Model{}, 0, true
	}
	for _, loaded := range s.Loaded {
		if !p.surplus(now, loaded, s, servers) {
			continue
		}
		// Work in progress has to end first.
		waits := 1 + float64(s.Running[loaded])/100
		if !ok || waits < cost {
			m, cost, ok = loaded, waits, true
		}
	}
	return m, cost, ok
}

// wanting returns the models that have had too little capacity for long enough,
// the one that lacks most first.
func (p *Placer) wanting(now time.Time, servers []Server) []Model {
	type lack struct {
		model Model
		share float64
	}
	var list []lack
	for m, r := range p.demand {
		safe := p.safe(m, servers)
		high := r.perSecond > p.settings.Busy*safe
		r.watch(now, r.perSecond < p.settings.Idle*safe, high)
		if high && now.Sub(r.highSince) >= p.settings.UpAfter {
			list = append(list, lack{m, r.perSecond / max(safe, 1)})
		}
	}
	slices.SortFunc(list, func(a, b lack) int {
		return cmp.Or(cmp.Compare(b.share, a.share), a.model.compare(b.model))
	})
	models := make([]Model, len(list))
	for i, l := range list {
		models[i] = l.model
	}
	return models
}

// step returns what a change needs next.
func (c *change) step(s *Server) Step {
	switch {
	case c.victim == (Model{}) || !slices.Contains(s.Loaded, c.victim):
		return Step{Kind: Load, Server: s.Name, Model: c.load}
	case s.Running[c.victim] > 0:
		return Step{Kind: Drain, Server: s.Name, Model: c.victim}
	default:
		return Step{Kind: Unload, Server: s.Name, Model: c.victim}
	}
}

func (m Model) compare(other Model) int {
	return cmp.Or(cmp.Compare(m.Model, other.Model), cmp.Compare(m.Adapter, other.Adapter), cmp.Compare(m.Version, other.Version))
}
