package experimenter

import (
	"slices"
	"strconv"
	"time"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/entry/router"
)

// The experiment's one model and place.
const (
	modelName  = "model"
	domainName = "domain"
	regionName = "region"
)

type (
	// policy decides where jobs run. All fields are set.
	policy struct {
		// place returns the node for a job, or nil to let it wait.
		place func(now time.Time, j *job) *node
		// progressed and finished tell of a token of a job, and of its end.
		progressed func(now time.Time, n *node, j *job)
		finished   func(now time.Time, n *node, j *job)
		// victims returns the jobs that give way.
		victims func(now time.Time, n *node) []uint64
		// lost tells that an engine is gone.
		lost func(now time.Time, n *node)
		// tick is called before jobs are placed.
		tick func(now time.Time)
	}

	// namedPolicy is a policy as tables show it.
	namedPolicy struct {
		name string
		make func([]*node) policy
	}

	// routed places jobs by the router and asks a node whether it admits them.
	routed struct {
		nodes  []*node
		router *router.Router
		admit  func(now time.Time, n *node, j *job) bool
		// sent holds what each job's node was told of it.
		sent map[uint64]int
		buf  []router.Candidate
	}
)

// basePolicy only places jobs.
func basePolicy(place func(time.Time, *job) *node) policy {
	return policy{
		place:      place,
		progressed: func(time.Time, *node, *job) {},
		finished:   func(time.Time, *node, *job) {},
		victims:    func(time.Time, *node) []uint64 { return nil },
		lost:       func(time.Time, *node) {},
		tick:       func(time.Time) {},
	}
}

func roundRobin(nodes []*node) policy {
	turn := 0
	return basePolicy(func(time.Time, *job) *node {
		for {
			turn++
			if n := nodes[turn%len(nodes)]; !n.dead {
				return n
			}
		}
	})
}

// least returns the live node with the fewest jobs of those that may take one.
func least(nodes []*node, may func(*node) bool) *node {
	var best *node
	for _, n := range nodes {
		if !n.dead && may(n) && (best == nil || len(n.jobs) < len(best.jobs)) {
			best = n
		}
	}
	return best
}

func leastOutstanding(nodes []*node) policy {
	return basePolicy(func(time.Time, *job) *node {
		return least(nodes, func(*node) bool { return true })
	})
}

func reserveMaximum(memory int) func([]*node) policy {
	return func(nodes []*node) policy {
		return basePolicy(func(_ time.Time, j *job) *node {
			return least(nodes, func(n *node) bool {
				sum := j.PromptTokens + j.MaxTokens
				for _, other := range n.jobs {
					sum += other.PromptTokens + other.MaxTokens
				}
				return sum <= memory
			})
		})
	}
}

func admitAlways(nodes []*node) policy {
	return newRouted(nodes, func(time.Time, *node, *job) bool { return true }).policy()
}

// oracle knows each length and admits what fits at every later step.
func oracle(p emulator.Parameters) func([]*node) policy {
	return func(nodes []*node) policy {
		return newRouted(nodes, func(_ time.Time, n *node, j *job) bool {
			return len(n.jobs) < p.MaxBatch && knownPeak(n, j) <= p.MemoryTokens
		}).policy()
	}
}

// knownPeak returns the most memory that a node's jobs and another one will
// need. Shared prefixes count once.
func knownPeak(n *node, extra *job) int {
	const blockTokens = 16
	type need struct{ left, held int }
	var needs []need
	shared, base := make(map[uint64]bool), 0
	add := func(j *job) {
		for _, h := range j.Blocks {
			if !shared[h] {
				shared[h] = true
				base += blockTokens
			}
		}
		held := j.PromptTokens - len(j.Blocks)*blockTokens + j.generated
		needs = append(needs, need{left: j.Length - j.generated, held: held + blockTokens})
	}
	for _, j := range n.jobs {
		add(j)
	}
	add(extra)
	slices.SortFunc(needs, func(a, b need) int { return b.left - a.left })
	peak, held := 0, 0
	for i, x := range needs {
		held += x.held
		peak = max(peak, held+(i+1)*x.left)
	}
	return base + peak
}

// learned is the product's own policy: the router and one admitter beside each
// engine.
func learned(s admitter.Settings) func([]*node) policy {
	return func(nodes []*node) policy {
		admitters := make(map[*node]*admitter.Admitter)
		for _, n := range nodes {
			admitters[n] = admitter.New(s)
		}
		p := newRouted(nodes, func(now time.Time, n *node, j *job) bool {
			return admitters[n].Admit(now, admitter.Work{
				ID:           j.name,
				Workspace:    j.Workspace,
				Kind:         j.Kind,
				PromptTokens: j.PromptTokens,
				Blocks:       j.Blocks,
				Resumed:      j.generated,
				MaxTokens:    j.MaxTokens,
			}).Admit
		}).policy()
		done := p.finished
		p.progressed = func(_ time.Time, n *node, j *job) {
			admitters[n].Progress(j.name, j.generated)
		}
		p.finished = func(now time.Time, n *node, j *job) {
			admitters[n].Finish(j.name, j.generated)
			done(now, n, j)
		}
		p.victims = func(now time.Time, n *node) []uint64 {
			var ids []uint64
			for _, name := range admitters[n].Victims(now) {
				id, _ := strconv.ParseUint(name, 10, 64)
				done(now, n, n.jobs[id])
				ids = append(ids, id)
			}
			return ids
		}
		return p
	}
}

func newRouted(nodes []*node, admit func(time.Time, *node, *job) bool) *routed {
	r := &routed{
		nodes:  nodes,
		router: router.New(router.DefaultSettings(regionName, domainName)),
		admit:  admit,
		sent:   make(map[uint64]int),
	}
	var servers []router.Server
	for _, n := range nodes {
		servers = append(servers, router.Server{
			Name:          n.name,
			FailureDomain: domainName,
			Region:        regionName,
			Models:        []router.Model{{Model: modelName}},
			MemoryTokens:  n.engine.Load(start).MemoryTotal,
		})
	}
	r.router.Usable = func(name string) bool { return !r.node(name).dead }
	r.router.SetServers(servers)
	return r
}

func (r *routed) node(name string) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (r *routed) place(now time.Time, j *job) *node {
	req := router.Request{
		Model:        router.Model{Model: modelName},
		PromptTokens: j.PromptTokens,
		Blocks:       j.Blocks,
		Expected:     j.PromptTokens + j.generated,
	}
	r.buf = r.router.Choose(now, &req, r.buf[:0])
	for _, c := range r.buf {
		n := r.node(c.Name)
		if !r.admit(now, n, j) {
			continue
		}
		r.router.Confirm(c.Name, c.CachedTokens, n.engine.CachedTokens(j.Blocks))
		r.sent[j.id] = req.Expected
		r.router.Sent(now, c.Name, &req, req.Expected)
		return n
	}
	return nil
}

func (r *routed) policy() policy {
	p := basePolicy(r.place)
	p.finished = func(now time.Time, n *node, j *job) {
		r.router.Done(now, n.name, r.sent[j.id])
	}
	p.tick = func(now time.Time) {
		for _, n := range r.nodes {
			l := n.engine.Load(now)
			r.router.Report(n.name, router.Load{
				Running:     l.Running,
				Waiting:     l.Waiting,
				MemoryTotal: l.MemoryTotal,
				MemoryUsed:  l.MemoryUsed,
				ReportedAt:  l.ReportedAt,
			})
		}
	}
	return p
}
