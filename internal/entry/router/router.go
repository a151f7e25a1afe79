package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"verbenareach/internal/prompt/hasher"
)

const (
	// meanInterval is the least time between updates of a group's mean load.
	meanInterval = 100 * time.Millisecond
	// batchWeight is the weight of the number of generations, as a share of fullBatch,
	// in the cost. The memory occupancy has weight 1.
	batchWeight = 0.5
	fullBatch   = 128.0
	// maxAffinity bounds the servers considered for their prefix cache.
	maxAffinity = 2
	// maxCandidates bounds Settings.Candidates.
	maxCandidates = 16
	// loadSlack is added to the load bound of all servers, in generations.
	loadSlack = 2.0
	// defaultMemory is assumed for a server that announced no memory, in tokens.
	defaultMemory = 60_000
)

type (
	// Request is a generation that needs a server.
	Request struct {
		Model Model
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks are the rolling hashes of the prompt's full blocks, as of package hasher:
		// each stands for the prompt up to the end of its block.
		Blocks []uint64
		// Expected is the memory that the generation is expected to need, in
		// tokens; at least PromptTokens.
		Expected int
		// Avoid names servers that declined or failed already.
		Avoid []string
	}

	// Candidate is a server that may take a request.
	Candidate struct {
		Name string
		// CachedTokens is the predicted prefix cache hit, in tokens.
		CachedTokens int
		// Cost orders the candidates, the lowest first.
		Cost float64
	}

	// Router chooses servers for requests. It is safe for concurrent use, except that
	// Usable must not be changed during a call of Choose.
	Router struct {
		// Usable reports whether a server may get new work at all, for reasons that the
		// router does not know, such as an ejection. If nil, all servers may. It must not
		// call the Router, whose lock is held.
		Usable func(name string) bool

		settings Settings
		mu       sync.Mutex
		random   *rand.Rand
		backends map[string]*backend
		// slots holds the backends by slot; slot 0 is unused.
		slots  []*backend
		groups map[Model]*group
		index  *prefixIndex
	}

	// group holds the servers of one model.
	group struct {
		members []*backend
		// sameDomain are the members in the entry's own failure domain.
		sameDomain []*backend
		// mean is the mean of the members' outstanding generations.
		mean   float64
		meanAt time.Time
	}

	// selection collects the candidates of one request.
	selection struct {
		now   time.Time
		r     *Router
		req   *Request
		group *group
		// list[:n] are the candidates so far, the lowest cost first.
		list [maxCandidates]Candidate
		n    int
		// cached are the predicted prefix cache hits; b is nil in unused elements.
		cached [maxAffinity]cacheHit
	}

	// cacheHit is a server that is predicted to have a prefix of the prompt in its cache.
	cacheHit struct {
		b      *backend
		tokens int
	}
)

// New returns a router without servers.
func New(s Settings) *Router {
	s.Candidates = min(s.Candidates, maxCandidates)
	return &Router{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		backends: make(map[string]*backend),
		slots:    make([]*backend, 1),
		groups:   make(map[Model]*group),
		index:    newPrefixIndex(s.MaxHints),
	}
}

// CacheEvents updates the prefix index from a server's cache event, which names the blocks
// that its engine stored and evicted. A gap in seq means that events were lost; this lowers
// the trust in the server's hints.
func (r *Router) CacheEvents(name string, seq uint64, stored, evicted []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil {
		return
	}
	if b.lastEventSeq != 0 && seq != b.lastEventSeq+1 {
		b.trust *= eventGapFactor
	}
	b.lastEventSeq = seq
	for _, block := range stored {
		// Blocks that no request of this entry has had are not indexed.
		if _, ok := r.index.get(block); ok {
			r.index.add(block, b.ref())
		}
	}
	for _, block := range evicted {
		r.index.remove(block, b.slot)
	}
}

// Choose appends to dst the servers that a request should be offered to, the lowest cost
// first. None are appended if no usable server has the model.
func (r *Router) Choose(now time.Time, req *Request, dst []Candidate) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[req.Model]
	if g == nil {
		return dst
	}
	c := selection{now: now, r: r, req: req, group: g}
	g.refreshMean(now)
	c.findCacheHits()
	for _, h := range c.cached {
		if h.b != nil && h.b.withinLoadBound(r, now, g) {
			c.addCandidate(h.b)
		}
	}
	c.addRandom()
	return append(dst, c.list[:c.n]...)
}

// Confirm records how many of a prompt's tokens a server had in its prefix cache, and how
// many Choose had predicted. It does nothing if that was 0.
func (r *Router) Confirm(name string, predicted, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil || predicted <= 0 {
		return
	}
	share := min(float64(cached)/float64(predicted), 1)
	b.trust += trustSmoothing * (share - b.trust)
}

// Done records the end of a request that was recorded by RecordSent with the same tokens.
func (r *Router) Done(now time.Time, name string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.backends[name]; b != nil {
		b.addChange(loadChange{at: now, count: -1, tokens: -tokens})
	}
}

// Report records a server's reported load.
func (r *Router) Report(name string, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.backends[name]; b != nil {
		b.setLoad(l)
	}
}

// RecordSent records that a request was sent to a server, which is expected to use tokens of
// its memory.
func (r *Router) RecordSent(now time.Time, name string, req *Request, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil {
		return
	}
	b.addChange(loadChange{at: now, count: 1, tokens: tokens})
	for depth := len(req.Blocks); depth > 0; depth = nextDepth(depth) {
		r.index.add(req.Blocks[depth-1], b.ref())
	}
}

// SetServers replaces the list of servers. It keeps the state of those in both lists,
// except for a server with a new incarnation.
func (r *Router) SetServers(servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		b.listed = false
	}
	for i := range servers {
		r.updateServer(&servers[i])
	}
	for name, b := range r.backends {
		if !b.listed {
			delete(r.backends, name)
			r.slots[b.slot] = nil
		}
	}
	r.regroup(servers)
}

// updateServer adds or updates one server of a new list.
func (r *Router) updateServer(s *Server) {
	b := r.backends[s.Name]
	if b == nil {
		b = r.allocateSlot()
		r.backends[s.Name] = b
	} else if b.Incarnation != s.Incarnation {
		*b = backend{slot: b.slot, epoch: b.epoch + 1, trust: initialTrust}
	}
	b.Server = *s
	if b.MemoryTokens <= 0 {
		b.MemoryTokens = defaultMemory
	}
	b.listed = true
}

// allocateSlot returns a new backend in a free slot. Its epoch is random, to differ from
// that of older hints for the slot.
func (r *Router) allocateSlot() *backend {
	b := &backend{trust: initialTrust, epoch: uint16(r.random.Uint32())}
	for i := 1; i < len(r.slots); i++ {
		if r.slots[i] == nil {
			b.slot = uint16(i)
			r.slots[i] = b
			return b
		}
	}
	b.slot = uint16(len(r.slots))
	r.slots = append(r.slots, b)
	return b
}

// regroup groups the servers by model, in the order of the list. A server with a version of
// a model is also in the group for requests without a version.
func (r *Router) regroup(servers []Server) {
	r.groups = make(map[Model]*group)
	for i := range servers {
		b := r.backends[servers[i].Name]
		for _, m := range b.Models {
			r.addToGroup(m, b)
			if m.Version != "" {
				m.Version = ""
				r.addToGroup(m, b)
			}
		}
	}
}

// addToGroup adds b to the group of m, unless it is the group's last member already, with
// another version of the model.
func (r *Router) addToGroup(m Model, b *backend) {
	g := r.groups[m]
	if g == nil {
		g = &group{}
		r.groups[m] = g
	}
	if n := len(g.members); n > 0 && g.members[n-1] == b {
		return
	}
	g.members = append(g.members, b)
	if b.FailureDomain == r.settings.FailureDomain {
		g.sameDomain = append(g.sameDomain, b)
	}
}

// cost returns the cost of running a request at a server that has cached tokens of its
// prompt, in shares of the engine's capacity.
func (r *Router) cost(now time.Time, b *backend, req *Request, cached int) float64 {
	s := &r.settings
	share := b.slowStartShare(now, s.SlowStart)
	total := float64(b.MemoryTokens) * share
	occupancy := float64(b.expectedMemory()+max(req.Expected, req.PromptTokens)-cached) / total
	cost := occupancy + s.Crowding*max(occupancy-s.CrowdedAt, 0)
	cost += batchWeight * float64(b.outstanding()+1) / (fullBatch * share)
	cost += s.Prefill * (float64(req.PromptTokens) - b.trust*float64(cached)) / 1024
	switch {
	case b.Region != s.Region:
		cost += s.OtherRegion
	case b.FailureDomain != s.FailureDomain:
		cost += s.OtherDomain
	}
	return cost
}

// usable reports whether a request may be sent to a server. The caller holds mu.
func (r *Router) usable(b *backend, req *Request) bool {
	if b.load.Leaving || slices.Contains(req.Avoid, b.Name) {
		return false
	}
	return r.Usable == nil || r.Usable(b.Name)
}

// withinLoadBound reports whether a server's load is close enough to the mean for the
// server to be chosen for its prefix cache.
func (b *backend) withinLoadBound(r *Router, now time.Time, g *group) bool {
	share := b.slowStartShare(now, r.settings.SlowStart)
	return float64(b.outstanding()) <= share*((1+r.settings.LoadBound)*g.mean+loadSlack)
}

// refreshMean updates the mean load if it is older than meanInterval.
func (g *group) refreshMean(now time.Time) {
	if !g.meanAt.IsZero() && now.Sub(g.meanAt) < meanInterval {
		return
	}
	sum := 0
	for _, b := range g.members {
		sum += b.outstanding()
	}
	g.mean = float64(sum) / math.Max(float64(len(g.members)), 1)
	g.meanAt = now
}

// addRandom adds random servers, half of them of the same failure domain, or all servers
// of a small group.
func (c *selection) addRandom() {
	members := c.group.members
	if len(members) <= maxExhaustiveGroup {
		for _, b := range members {
			c.addCandidate(b)
		}
		return
	}
	sameDomain := c.group.sameDomain
	for i := range c.r.settings.Choices {
		if i%2 == 0 && len(sameDomain) > 0 {
			c.addCandidate(sameDomain[c.r.random.IntN(len(sameDomain))])
		} else {
			c.addCandidate(members[c.r.random.IntN(len(members))])
		}
	}
	if c.n > 0 {
		return
	}
	// None of them is usable: take the first usable server from a random index on.
	start := c.r.random.IntN(len(members))
	for i := 0; i < len(members) && c.n == 0; i++ {
		c.addCandidate(members[(start+i)%len(members)])
	}
}

// findCacheHits finds servers that have the longest prefixes of the prompt.
func (c *selection) findCacheHits() {
	n := 0
	for depth := len(c.req.Blocks); depth > 0 && n < maxAffinity; depth = nextDepth(depth) {
		h, ok := c.r.index.get(c.req.Blocks[depth-1])
		if !ok {
			continue
		}
		for _, ref := range h {
			b := c.r.slots[ref.slot]
			if ref.slot == 0 || b == nil || b.epoch != ref.epoch || n == maxAffinity || c.cachedTokens(b) > 0 {
				continue
			}
			c.cached[n] = cacheHit{b: b, tokens: depth * hasher.BlockTokens}
			n++
		}
	}
}

func (c *selection) cachedTokens(b *backend) int {
	for _, h := range c.cached {
		if h.b == b {
			return h.tokens
		}
	}
	return 0
}

// addCandidate inserts a usable server into the candidates, ordered by cost.
func (c *selection) addCandidate(b *backend) {
	for _, listed := range c.list[:c.n] {
		if listed.Name == b.Name {
			return
		}
	}
	if !c.r.usable(b, c.req) {
		return
	}
	cached := c.cachedTokens(b)
	credited := cached
	if cached > 0 && !b.withinLoadBound(c.r, c.now, c.group) {
		credited = 0 // A hot prefix must not overload one server.
	}
	cand := Candidate{Name: b.Name, CachedTokens: cached, Cost: c.r.cost(c.now, b, c.req, credited)}
	i := c.n
	for i > 0 && c.list[i-1].Cost > cand.Cost {
		i--
	}
	if i >= c.r.settings.Candidates {
		return
	}
	end := min(c.n, c.r.settings.Candidates-1)
	copy(c.list[i+1:end+1], c.list[i:end])
	c.list[i] = cand
	c.n = end + 1
}
