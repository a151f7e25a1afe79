// Package placer plans which models, adapters and versions are loaded on which backend
// servers. It follows demand slowly, since model weights come from a rate-limited store, and
// keeps enough capacity for the loss of a failure domain.
package placer

import (
	"cmp"
	"slices"
	"time"
)

// Kinds of steps.
const (
	// Load means that the server is to load the model.
	Load Kind = "loadModel"
	// Drain means that the server is to get no new work for the model.
	Drain Kind = "drain"
	// Unload means that the server is to unload the model, which runs no work any more.
	Unload Kind = "unloadModel"
)

type (
	// Kind is the kind of a step.
	Kind string

	// Model identifies a model with its adapter and version, if any.
	Model struct {
		Model   string
		Adapter string
		Version string
	}

	// Server is the present state of an engine.
	Server struct {
		Name          string
		FailureDomain string
		// Slots is the number of models that fit at once, at least 1.
		Slots  int
		Loaded []Model
		// Running is the number of generations in progress by model.
		Running map[Model]int
		// TokensPerSecond is the server's throughput at full load.
		TokensPerSecond float64
		// Leaving is set while the server is leaving. It then gets no model and adds no capacity.
		Leaving bool
	}

	// Step is an action that is due. Plan returns it again until the servers' state shows that
	// it is done.
	Step struct {
		Kind   Kind
		Server string
		Model  Model
	}

	// Settings holds the parameters of a Placer.
	Settings struct {
		// HighUtilization and LowUtilization are shares of a model's capacity, as left by the loss
		// of a failure domain. Once demand has been above the former for UpAfter, the capacity is
		// increased; once it has been below the latter for DownAfter, it may be reduced.
		HighUtilization float64
		LowUtilization  float64
		UpAfter         time.Duration
		DownAfter       time.Duration
		// RiseHalfLife and FallHalfLife are the half-lives of the moving average of the demand
		// while it rises and while it falls.
		RiseHalfLife time.Duration
		FallHalfLife time.Duration
		// MaxLoads bounds the concurrent loads, those included that wait for the unload of
		// another model, to limit the load on the weight store.
		MaxLoads int
		// LoadTimeout is the time after which a load, with the unload before it, is given up and
		// may be tried elsewhere.
		LoadTimeout time.Duration
	}

	// Placer plans which models to load and unload. It isn't safe for concurrent use.
	Placer struct {
		settings Settings
		demand   map[Model]*demandRate
		// changes holds the changes in progress by server: at most one on each.
		changes map[string]*change
	}

	// change loads a model on a server, after unloading another one if there is no room.
	change struct {
		load Model
		// victim is the model to unload first; the zero Model if there is room.
		victim    Model
		startedAt time.Time
	}
)

// DefaultSettings returns settings for loads that take minutes.
func DefaultSettings() Settings {
	return Settings{
		HighUtilization: 0.75,
		LowUtilization:  0.4,
		UpAfter:         time.Minute,
		DownAfter:       10 * time.Minute,
		RiseHalfLife:    time.Minute,
		FallHalfLife:    5 * time.Minute,
		MaxLoads:        2,
		LoadTimeout:     10 * time.Minute,
	}
}

// New returns a placer without observed demand.
func New(s Settings) *Placer {
	return &Placer{settings: s, demand: make(map[Model]*demandRate), changes: make(map[string]*change)}
}

// Observe adds the tokens of a model that callers demanded since the last call for it. The
// tokens of the first call, or of one that isn't later than the last, don't count.
func (p *Placer) Observe(now time.Time, m Model, tokens float64) {
	r := p.demand[m]
	if r == nil {
		r = &demandRate{}
		p.demand[m] = r
	}
	r.observe(now, tokens, &p.settings)
}

// Plan ends and starts changes, and returns the steps that are due at now, by server name.
// servers holds all engines.
func (p *Placer) Plan(now time.Time, servers []Server) []Step {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	p.endChanges(now, servers)
	for _, m := range p.underprovisioned(now, servers) {
		if len(p.changes) >= p.settings.MaxLoads {
			break
		}
		p.startChange(now, m, servers)
	}
	var steps []Step
	for i := range servers {
		if c := p.changes[servers[i].Name]; c != nil {
			steps = append(steps, c.step(&servers[i]))
		}
	}
	return steps
}

// startChange chooses the server with the lowest cost for loading a model, if there is one,
// and records the change. A server costs what its victim costs plus the share of the model's
// capacity that is in its failure domain.
func (p *Placer) startChange(now time.Time, m Model, servers []Server) {
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
		cost += p.domainShare(m, s.FailureDomain, servers)
		if best == nil || cost < bestCost {
			best, bestVictim, bestCost = s, victim, cost
		}
	}
	if best != nil {
		p.changes[best.Name] = &change{load: m, victim: bestVictim, startedAt: now}
	}
}

// domainShare returns the share of a failure domain in the whole throughput of the servers
// that serve a model; 0 if none does.
func (p *Placer) domainShare(m Model, domain string, servers []Server) float64 {
	all, inDomain := 0.0, 0.0
	for i := range servers {
		if !p.serves(&servers[i], m) {
			continue
		}
		all += servers[i].TokensPerSecond
		if servers[i].FailureDomain == domain {
			inDomain += servers[i].TokensPerSecond
		}
	}
	if all == 0 {
		return 0
	}
	return inDomain / all
}

// serves reports whether a server serves a model or is to load it, and is not leaving or to
// unload it.
func (p *Placer) serves(s *Server, m Model) bool {
	if s.Leaving {
		return false
	}
	if c := p.changes[s.Name]; c != nil {
		return c.load == m || c.victim != m && slices.Contains(s.Loaded, m)
	}
	return slices.Contains(s.Loaded, m)
}

// stillNeeded reports whether a model that is to be unloaded from a server is needed there
// after all, because demand exceeds HighUtilization of the safe capacity without it.
func (p *Placer) stillNeeded(m Model, s *Server, servers []Server) bool {
	r := p.demand[m]
	return r != nil && slices.Contains(s.Loaded, m) && r.perSecond > p.settings.HighUtilization*p.safeCapacity(m, servers)
}

// safeCapacity returns the capacity of a model in tokens per second that is left when the failure
// domain with most of it is lost. A server's throughput is divided equally between its loaded
// models. While all servers of the model are in one domain, the loss of the one with the largest
// part is assumed instead.
func (p *Placer) safeCapacity(m Model, servers []Server) float64 {
	domains := make(map[string]float64)
	all, largest := 0.0, 0.0
	for i := range servers {
		if !p.serves(&servers[i], m) {
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

// endChanges drops the changes that are done, have timed out or aren't possible any more, and
// those whose victim is needed after all.
func (p *Placer) endChanges(now time.Time, servers []Server) {
	for name, c := range p.changes {
		i := slices.IndexFunc(servers, func(s Server) bool { return s.Name == name })
		done := i < 0 || servers[i].Leaving || slices.Contains(servers[i].Loaded, c.load)
		if done || now.Sub(c.startedAt) > p.settings.LoadTimeout || p.stillNeeded(c.victim, &servers[i], servers) {
			delete(p.changes, name)
		}
	}
}

// removable reports whether a model has had excess capacity for DownAfter, and would have
// enough capacity without a server.
func (p *Placer) removable(now time.Time, m Model, without *Server, servers []Server) bool {
	r := p.demand[m]
	if r == nil || r.excessSince.IsZero() || now.Sub(r.excessSince) < p.settings.DownAfter {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.Name == without.Name })
	return r.perSecond <= p.settings.HighUtilization*p.safeCapacity(m, rest)
}

// victim returns the model to unload from a server for another one, and the cost of that: 1
// plus 0.01 for each generation in progress. Both are zero if there is room. ok is false if
// there is none and no model may be unloaded.
func (p *Placer) victim(now time.Time, s *Server, servers []Server) (m Model, cost float64, ok bool) {
	if len(s.Loaded) < max(s.Slots, 1) {
		return Model{}, 0, true
	}
	for _, loaded := range s.Loaded {
		if !p.removable(now, loaded, s, servers) {
			continue
		}
		// Work in progress has to end before the unload.
		victimCost := 1 + float64(s.Running[loaded])/100
		if !ok || victimCost < cost {
			m, cost, ok = loaded, victimCost, true
		}
	}
	return m, cost, ok
}

// underprovisioned updates since when each model's capacity is too small or larger than needed.
// It returns the models whose capacity has been too small for UpAfter, in falling order of the
// ratio of demand to capacity.
func (p *Placer) underprovisioned(now time.Time, servers []Server) []Model {
	type shortfall struct {
		model Model
		ratio float64
	}
	var list []shortfall
	for m, r := range p.demand {
		capacity := p.safeCapacity(m, servers)
		high := r.perSecond > p.settings.HighUtilization*capacity
		r.track(now, r.perSecond < p.settings.LowUtilization*capacity, high)
		if high && now.Sub(r.shortSince) >= p.settings.UpAfter {
			list = append(list, shortfall{m, r.perSecond / max(capacity, 1)})
		}
	}
	slices.SortFunc(list, func(a, b shortfall) int {
		return cmp.Or(cmp.Compare(b.ratio, a.ratio), a.model.compare(b.model))
	})
	models := make([]Model, len(list))
	for i, l := range list {
		models[i] = l.model
	}
	return models
}

// step returns the next step of a change.
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
