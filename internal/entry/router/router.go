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
	// meanEvery is how often the mean load of a group is computed.
	meanEvery = 100 * time.Millisecond
	// batchShare weighs the number of generations beside the memory.
	batchShare = 0.5
	fullBatch  = 128.0
	// maxAffinity bounds the servers taken for their prefix cache.
	maxAffinity = 2
	// maxCandidates bounds Settings.Candidates.
	maxCandidates = 16
	// boundSlack is what a server may have over the mean in any case, in
	// generations.
	boundSlack = 2.0
	// defaultMemory is assumed of a server that told of no memory, in tokens.
	defaultMemory = 60_000
)

type (
	// Request is what a server is wanted for.
	Request struct {
		Model Model
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		// Blocks are the hashes of the prompt's full blocks.
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
		// CachedTokens is how many of the prompt's tokens it is held to have.
		CachedTokens int
		// Cost orders the candidates, the lowest first.
		Cost float64
	}

	// Router knows the servers. It is safe for concurrent use. Usable is set
	// before the first use.
	Router struct {
		// Usable tells whether a server may get new work at all: it isn't
		// leaving, cut off or ejected. Nil stands for yes.
		Usable func(name string) bool

		settings Settings
		mu       sync.Mutex
		random   *rand.Rand
		backends map[string]*backend
		// slots holds the backends by slot; slot 0 is none.
		slots  []*backend
		groups map[Model]*group
		index  *prefixIndex
	}

	// group is the servers of one model.
	group struct {
		members []*backend
		near    []*backend
		// mean is the mean of the members' outstanding generations.
		mean   float64
		meanAt time.Time
	}

	// choice collects the candidates of one request.
	choice struct {
		now    time.Time
		r      *Router
		req    *Request
		group  *group
		list   [maxCandidates]Candidate
		n      int
		cached [maxAffinity]hit
	}

	// hit is a server that is held to have a part of the prompt.
	hit struct {
		b      *backend
		tokens int
	}
)

// New returns a router that knows no servers.
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

// CacheEvents takes an engine's cache event. A jump of seq means that events
// were lost; then the server's hints are trusted less until it confirms them.
func (r *Router) CacheEvents(name string, seq uint64, stored, evicted []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil {
		return
	}
	if b.lastEvent != 0 && seq != b.lastEvent+1 {
		b.trust *= gapTrust
	}
	b.lastEvent = seq
	for _, block := range stored {
		// Only blocks that were asked for here are of use.
		if _, ok := r.index.get(block); ok {
			r.index.add(block, b.place())
		}
	}
	for _, block := range evicted {
		r.index.remove(block, b.slot)
	}
}

// Choose appends to dst the servers that a request should be offered to, the
// best first. None are appended if no usable server has the model.
func (r *Router) Choose(now time.Time, req *Request, dst []Candidate) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[req.Model]
	if g == nil {
		return dst
	}
	c := choice{now: now, r: r, req: req, group: g}
	g.refresh(now)
	c.findCached()
	for _, h := range c.cached {
		if h.b != nil && h.b.withinBound(r, now, g) {
			c.offer(h.b)
		}
	}
	c.draw()
	return append(dst, c.list[:c.n]...)
}

// Confirm tells how many of a prompt's tokens a server had in its prefix
// cache, where Choose had held it to have predicted.
func (r *Router) Confirm(name string, predicted, cached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil || predicted <= 0 {
		return
	}
	share := min(float64(cached)/float64(predicted), 1)
	b.trust += trustStep * (share - b.trust)
}

// Done tells that a request that was Sent with so many tokens is over.
func (r *Router) Done(now time.Time, name string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.backends[name]; b != nil {
		b.correct(sending{at: now, count: -1, tokens: -tokens})
	}
}

// Report takes a server's load.
func (r *Router) Report(name string, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.backends[name]; b != nil {
		b.report(l)
	}
}

// Sent tells that a server has admitted a request of so many expected tokens.
func (r *Router) Sent(now time.Time, name string, req *Request, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[name]
	if b == nil {
		return
	}
	b.correct(sending{at: now, count: 1, tokens: tokens})
	for depth := len(req.Blocks); depth > 0; depth = nextDepth(depth) {
		r.index.add(req.Blocks[depth-1], b.place())
	}
}

// SetServers replaces the list of servers. What is known of those that stay is
// kept; a server of a new incarnation starts afresh.
func (r *Router) SetServers(servers []Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		b.known = false
	}
	for i := range servers {
		r.learn(&servers[i])
	}
	for name, b := range r.backends {
		if !b.known {
			delete(r.backends, name)
			r.slots[b.slot] = nil
		}
	}
	r.regroup(servers)
}

// learn takes one server of a new list.
func (r *Router) learn(s *Server) {
	b := r.backends[s.Name]
	if b == nil {
		b = r.occupySlot()
		r.backends[s.Name] = b
	} else if b.Incarnation != s.Incarnation {
		*b = backend{slot: b.slot, epoch: b.epoch + 1, trust: firstTrust}
	}
	b.Server = *s
	if b.MemoryTokens <= 0 {
		b.MemoryTokens = defaultMemory
	}
	b.known = true
}

// occupySlot returns a new backend in a free slot, under an epoch that no
// older hint has.
func (r *Router) occupySlot() *backend {
	b := &backend{trust: firstTrust, epoch: uint16(r.random.Uint32())}
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

// regroup sorts the servers by model, in the order of the list.
func (r *Router) regroup(servers []Server) {
	r.groups = make(map[Model]*group)
	for i := range servers {
		b := r.backends[servers[i].Name]
		for _, m := range b.Models {
			r.join(m, b)
			if m.Version != "" {
				m.Version = ""
				r.join(m, b)
			}
		}
	}
}

func (r *Router) join(m Model, b *backend) {
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
		g.near = append(g.near, b)
	}
}

// cost returns what it costs to give a request to a server that has cached
// tokens of the prompt.
func (r *Router) cost(now time.Time, b *backend, req *Request, cached int) float64 {
	s := &r.settings
	share := b.share(now, s.SlowStart)
	total := float64(b.MemoryTokens) * share
	occupancy := float64(b.memory()+max(req.Expected, req.PromptTokens)-cached) / total
	cost := occupancy + s.Crowding*max(occupancy-s.CrowdedAt, 0)
	cost += batchShare * float64(b.outstanding()+1) / (fullBatch * share)
	cost += s.Prefill * (float64(req.PromptTokens) - b.trust*float64(cached)) / 1024
	switch {
	case b.Region != s.Region:
		cost += s.OtherRegion
	case b.FailureDomain != s.FailureDomain:
		cost += s.OtherDomain
	}
	return cost
}

// usable tells whether a server may be offered a request.
func (r *Router) usable(b *backend, req *Request) bool {
	if b.load.Leaving || slices.Contains(req.Avoid, b.Name) {
		return false
	}
	return r.Usable == nil || r.Usable(b.Name)
}

// withinBound tells whether a server's load is near enough to the mean to be
// chosen for its prefix cache.
func (b *backend) withinBound(r *Router, now time.Time, g *group) bool {
	share := b.share(now, r.settings.SlowStart)
	return float64(b.outstanding()) <= share*((1+r.settings.LoadBound)*g.mean+boundSlack)
}

// refresh computes the mean load when it is too old.
func (g *group) refresh(now time.Time) {
	if !g.meanAt.IsZero() && now.Sub(g.meanAt) < meanEvery {
		return
	}
	sum := 0
	for _, b := range g.members {
		sum += b.outstanding()
	}
	g.mean = float64(sum) / math.Max(float64(len(g.members)), 1)
	g.meanAt = now
}

// draw offers servers at random, half of them near; all in a small group.
func (c *choice) draw() {
	members := c.group.members
	if len(members) <= smallGroup {
		for _, b := range members {
			c.offer(b)
		}
		return
	}
	near := c.group.near
	for i := range c.r.settings.Choices {
		if i%2 == 0 && len(near) > 0 {
			c.offer(near[c.r.random.IntN(len(near))])
		} else {
			c.offer(members[c.r.random.IntN(len(members))])
		}
	}
	if c.n > 0 {
		return
	}
	// Most servers are out of use: the first usable one after a random place.
	start := c.r.random.IntN(len(members))
	for i := 0; i < len(members) && c.n == 0; i++ {
		c.offer(members[(start+i)%len(members)])
	}
}

// findCached looks for servers that have the longest parts of the prompt.
func (c *choice) findCached() {
	n := 0
	for depth := len(c.req.Blocks); depth > 0 && n < maxAffinity; depth = nextDepth(depth) {
		h, ok := c.r.index.get(c.req.Blocks[depth-1])
		if !ok {
			continue
		}
		for _, p := range h {
			b := c.r.slots[p.slot]
			if p.slot == 0 || b == nil || b.epoch != p.epoch || n == maxAffinity || c.cachedAt(b) > 0 {
				continue
			}
			c.cached[n] = hit{b: b, tokens: depth * hasher.BlockTokens}
			n++
		}
	}
}

func (c *choice) cachedAt(b *backend) int {
	for _, h := range c.cached {
		if h.b == b {
			return h.tokens
		}
	}
	return 0
}

// offer puts a server in its place among the candidates.
func (c *choice) offer(b *backend) {
	for _, have := range c.list[:c.n] {
		if have.Name == b.Name {
			return
		}
	}
	if !c.r.usable(b, c.req) {
		return
	}
	cached := c.cachedAt(b)
	saved := cached
	if cached > 0 && !b.withinBound(c.r, c.now, c.group) {
		saved = 0 // A hot prefix must not draw more than its share to one server.
	}
	cand := Candidate{Name: b.Name, CachedTokens: cached, Cost: c.r.cost(c.now, b, c.req, saved)}
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
