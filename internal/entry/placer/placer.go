// Package placer finds a backend server for each request: it lets requests wait
// in fair order until one has room, and keeps them away from those that are
// leaving, full or failing.
package placer

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/ejector"
	"verbenareach/internal/entry/queuer"
	"verbenareach/internal/entry/router"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

const (
	// loadEvery is how often the router hears of reported loads.
	loadEvery = 250 * time.Millisecond
	// loadLag is how old a load is at least when it arrives by way of control.
	loadLag = 1500 * time.Millisecond
	// fullPause is how long a backend server that declined for want of room is left
	// alone, unless work of this entry ends there first.
	// It counts for one that does not say how long.
	fullPause = 100 * time.Millisecond
	// longestPause bounds what a full backend server says.
	longestPause = time.Second
	// awayPause is how long one is left alone that declined for another reason or
	// could not be reached.
	awayPause = 250 * time.Millisecond
	// resumedPriority is added to the priority of an interrupted generation.
	resumedPriority = 2
	// defaultExpected is what a generation is expected to grow to, in tokens, when
	// nothing is known.
	defaultExpected = 256
	// slowStartLeast is the share of the busiest peer's work that a backend server
	// gets at first.
	slowStartLeast = 0.1
)

type (
	// Placer chooses backend servers for one entry. Its exported fields are set
	// before Run and first use.
	Placer struct {
		// View returns the newest agreed state known here.
		View func() registrar.View
		// Load returns what control last passed on of a backend server's load; nil for
		// nothing.
		Load func(server string) (follower.Load, bool)
		// Expect estimates how many more tokens a generation will make; nil for a
		// constant.
		Expect func(start *messenger.GenerateStart) int
		// Ended hears of a generation that came to its own end; nil for nobody to hear.
		Ended  func(start *messenger.GenerateStart)
		Router *router.Router
		Queue  *queuer.Queue
		// Ejector's Size is set by the placer.
		Ejector *ejector.Ejector
		// SlowStart is how long a backend server that joined or returned takes to get
		// as much work as its peers.
		SlowStart time.Duration
		// Log receives events; nil drops them.
		Log *logger.Logger

		mu sync.Mutex
		// index is the view's that servers were made from.
		index   uint64
		servers map[string]*server
		// sizes counts the backend servers of each group.
		sizes map[string]int
	}

	// server is what the placer knows of a backend server.
	server struct {
		member registrar.Member
		mark   registrar.Mark
		// since is when it joined or returned; the zero time if it was there before.
		since time.Time
		// closedUntil is until when it is left alone.
		closedUntil time.Time
		// outstanding counts this entry's unfinished work there.
		outstanding int
		// load is the last load heard of, as it changed at loadAt.
		load   follower.Load
		loadAt time.Time
	}
)

// Run follows loads and lets waiting requests try again until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- p.Queue.Run(ctx) }()
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-done
		case now := <-ticker.C:
			p.follow(now)
			p.hearLoads(now)
		}
	}
}

// follow takes up the newest view.
func (p *Placer) follow(now time.Time) {
	view := p.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers != nil && view.Index <= p.index {
		return
	}
	first := p.servers == nil
	if first {
		p.servers = make(map[string]*server)
		p.Ejector.Size = p.size
	}
	p.index = view.Index
	p.sizes = make(map[string]int)
	var list []router.Server
	view.EachMember(func(m registrar.Member) {
		if m.Role != registrar.RoleAgent {
			return
		}
		s := p.learn(now, m, view.Mark(m.Name), first)
		for _, group := range groupsOf(m) {
			p.sizes[group]++
		}
		if m.Backend.Kind == registrar.BackendEngine {
			list = append(list, s.forRouter(p.Ejector.ReturnedAt(m.Name)))
		}
	})
	for name := range p.servers {
		if _, ok := view.Member(name); !ok {
			delete(p.servers, name)
		}
	}
	p.Ejector.Forget(func(name string) bool { return p.servers[name] != nil })
	p.Router.SetServers(list)
}

// hearLoads passes changed loads on to the router.
func (p *Placer) hearLoads(now time.Time) {
	if p.Load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.servers {
		load, ok := p.Load(name)
		if !ok || load == s.load {
			continue
		}
		s.load, s.loadAt = load, now.Add(-loadLag)
		total := float64(s.member.Backend.MemoryTokens)
		p.Router.Report(name, router.Load{
			Running: load.Running, Waiting: load.Waiting, MemoryTotal: int(total),
			MemoryUsed: int(load.Used * total), MemoryExpected: int(load.Expected * total),
			ReportedAt: s.loadAt, Leaving: load.Leaving,
		})
	}
}

// learn takes up one agent of a view. Without peers to compare with, at the
// entry's own start, none counts as new.
func (p *Placer) learn(now time.Time, m registrar.Member, mark registrar.Mark, first bool) *server {
	s := p.servers[m.Name]
	switch {
	case s == nil:
		s = &server{}
		p.servers[m.Name] = s
		if !first {
			s.since = now
		}
	case s.member.Incarnation != m.Incarnation:
		s.since, s.closedUntil = now, time.Time{}
		p.Ejector.Renew(m.Name)
	case s.mark.Leaving && !mark.Leaving:
		s.since, s.closedUntil = now, time.Time{}
	}
	s.member, s.mark = m, mark
	return s
}

// size is the Ejector's Size. The ejector is only called with mu held.
func (p *Placer) size(group string) int {
	return p.sizes[group]
}

// usable tells whether a backend server may be offered work at now; the caller holds mu.
func (p *Placer) usable(now time.Time, s *server) bool {
	return !s.mark.Leaving && !now.Before(s.closedUntil) && p.Ejector.Usable(now, s.member.Name)
}

// withinSlowStart tells whether s may take one more: one that joined or returned
// gets a growing share of what its busiest established peer has. Without such a peer
// it gets all. The caller holds mu.
func (p *Placer) withinSlowStart(now time.Time, s *server, peers func(m registrar.Member) bool) bool {
	share := p.share(now, s)
	if share >= 1 {
		return true
	}
	busiest, established := 0, false
	for _, peer := range p.servers {
		if peer != s && peers(peer.member) && p.usable(now, peer) && p.share(now, peer) >= 1 {
			busiest = max(busiest, peer.outstanding)
			established = true
		}
	}
	return !established || float64(s.outstanding) < 1+share*float64(busiest)
}

// share is the part of a peer's work that s may have at now. The caller holds mu.
func (p *Placer) share(now time.Time, s *server) float64 {
	since := s.since
	if at := p.Ejector.ReturnedAt(s.member.Name); at.After(since) {
		since = at
	}
	age := now.Sub(since)
	if since.IsZero() || age >= p.SlowStart {
		return 1
	}
	return slowStartLeast + (1-slowStartLeast)*max(age.Seconds(), 0)/p.SlowStart.Seconds()
}

// note passes an ejection on to the log.
func (p *Placer) note(now time.Time, name string, c ejector.Change) {
	if c.Ejected {
		p.Log.Emit(now, logger.BackendEjected, "", logger.F("server", name), logger.F("for", c.For), logger.F("slow", c.Slow))
	}
}

func (s *server) forRouter(returnedAt time.Time) router.Server {
	since := s.since
	if returnedAt.After(since) {
		since = returnedAt
	}
	m := s.member
	listed := router.Server{
		Name: m.Name, FailureDomain: m.FailureDomain, Region: m.Region, MemoryTokens: int(m.Backend.MemoryTokens),
		JoinedAt: since, Incarnation: m.Incarnation,
	}
	for _, loaded := range m.Backend.Models {
		listed.Models = append(listed.Models, router.Model{Model: loaded.Model, Adapter: loaded.Adapter, Version: loaded.Version})
	}
	return listed
}

// groupsOf names the groups that an ejection's bound is counted in.
func groupsOf(m registrar.Member) []string {
	if m.Backend.Kind == registrar.BackendService {
		return []string{serviceGroup(m.Backend.Service)}
	}
	groups := make([]string, 0, len(m.Backend.Models))
	for _, loaded := range m.Backend.Models {
		groups = append(groups, modelGroup(loaded.Model))
	}
	return groups
}

func modelGroup(model string) string { return "model " + model }

func serviceGroup(service string) string { return "service " + service }
