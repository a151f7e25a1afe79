// Package placer chooses a backend server for each request. Requests wait in a fair queue
// until a backend server has room. A backend server that is leaving, full or failing gets no
// requests.
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
	// loadInterval is how often loads are passed to the router.
	loadInterval = 250 * time.Millisecond
	// minLoadAge is the least age of a load that arrives through control.
	minLoadAge = 1500 * time.Millisecond
	// defaultNoRoomBackoff is how long a backend server that declined for lack of room and
	// gave no retry-after gets no work. A generation of this entry that succeeds there ends
	// the backoff early.
	defaultNoRoomBackoff = 100 * time.Millisecond
	// maxNoRoomBackoff bounds the retry-after that a full backend server gives.
	maxNoRoomBackoff = time.Second
	// failureBackoff is how long a backend server gets no work after it declined for a
	// reason other than lack of room, could not be reached, or lost a request.
	failureBackoff = 250 * time.Millisecond
	// resumedPriorityBoost is added to the priority of an interrupted generation whose
	// caller has received tokens.
	resumedPriorityBoost = 2
	// defaultExpectedTokens is the expected length of a generation, in tokens, without
	// an estimate.
	defaultExpectedTokens = 256
	// minSlowStartShare is the share of its busiest peer's outstanding requests that a
	// backend server gets when it has just joined or returned (see withinSlowStart).
	minSlowStartShare = 0.1
)

type (
	// Placer chooses backend servers for one entry. Its exported fields are set
	// before Run and first use.
	Placer struct {
		// View returns the newest state of control that this entry has.
		View func() registrar.View
		// Load returns the last load of a backend server that came from control; it may
		// be nil.
		Load func(server string) (follower.Load, bool)
		// Expect estimates the number of tokens that a generation has still to generate;
		// nil for defaultExpectedTokens.
		Expect func(start *messenger.GenerateStart) int
		// Ended is called with the start message of each completed generation; it may be
		// nil.
		Ended  func(start *messenger.GenerateStart)
		Router *router.Router
		Queue  *queuer.Queue
		// Ejector ejects failing backend servers. The placer sets its Size.
		Ejector *ejector.Ejector
		// SlowStart is the time in which a backend server that joined, or returned from
		// leaving or an ejection, grows to a full share of work.
		SlowStart time.Duration
		// Log receives events; nil drops them.
		Log *logger.Logger

		mu sync.Mutex
		// index is the index of the view that servers corresponds to.
		index   uint64
		servers map[string]*server
		// sizes counts the backend servers of each group of the Ejector (see groupsOf).
		sizes map[string]int
	}

	// server is the placer's state of a backend server.
	server struct {
		member registrar.Member
		mark   registrar.Mark
		// joinedAt is when it joined, restarted or stopped leaving; the zero time if none
		// of that happened since the first view of this entry.
		joinedAt time.Time
		// backoffUntil is the time until which it gets no work.
		backoffUntil time.Time
		// outstanding is the number of this entry's unfinished requests there.
		outstanding int
		// load is the last load from control, and loadAt the time at which it is assumed
		// to have been measured: minLoadAge before it arrived.
		load   follower.Load
		loadAt time.Time
	}
)

// Run runs the queue and keeps view and loads up to date until ctx ends. It returns the
// error of Queue.Run.
func (p *Placer) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- p.Queue.Run(ctx) }()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-done
		case now := <-ticker.C:
			p.updateView(now)
			p.reportLoads(now)
		}
	}
}

// updateView applies the newest view to the placer's servers, the router and the ejector.
func (p *Placer) updateView(now time.Time) {
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
		s := p.updateServer(now, m, view.Mark(m.Name), first)
		for _, group := range groupsOf(m) {
			p.sizes[group]++
		}
		if m.Backend.Kind == registrar.BackendEngine {
			list = append(list, s.routerServer(p.Ejector.EjectionEnd(m.Name)))
		}
	})
	for name := range p.servers {
		if _, ok := view.Member(name); !ok {
			delete(p.servers, name)
		}
	}
	p.Ejector.Prune(func(name string) bool { return p.servers[name] != nil })
	p.Router.SetServers(list)
}

// reportLoads passes changed loads to the router.
func (p *Placer) reportLoads(now time.Time) {
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
		s.load, s.loadAt = load, now.Add(-minLoadAge)
		total := float64(s.member.Backend.MemoryTokens)
		p.Router.Report(name, router.Load{
			Running: load.Running, Waiting: load.Waiting, MemoryTotal: int(total),
			MemoryUsed: int(load.Used * total), MemoryExpected: int(load.Expected * total),
			ReportedAt: s.loadAt, Leaving: load.Leaving,
		})
	}
}

// updateServer adds or updates the state of the backend server of agent m. In the entry's
// first view no server counts as new, so that none is in slow start.
func (p *Placer) updateServer(now time.Time, m registrar.Member, mark registrar.Mark, first bool) *server {
	s := p.servers[m.Name]
	switch {
	case s == nil:
		s = &server{}
		p.servers[m.Name] = s
		if !first {
			s.joinedAt = now
		}
	case s.member.Incarnation != m.Incarnation:
		s.joinedAt, s.backoffUntil = now, time.Time{}
		p.Ejector.Reset(m.Name)
	case s.mark.Leaving && !mark.Leaving:
		s.joinedAt, s.backoffUntil = now, time.Time{}
	}
	s.member, s.mark = m, mark
	return s
}

// size is the Size function of the Ejector. The caller holds mu: the Ejector is called to
// record outcomes only while mu is held.
func (p *Placer) size(group string) int {
	return p.sizes[group]
}

// usable reports whether a backend server may get work at now. The caller holds mu.
func (p *Placer) usable(now time.Time, s *server) bool {
	return !s.mark.Leaving && !now.Before(s.backoffUntil) && p.Ejector.Usable(now, s.member.Name)
}

// withinSlowStart reports whether s may get one more request. A server in slow start may
// while its outstanding requests are fewer than 1 + share × b, where share is its
// slowStartShare and b is the highest number of outstanding requests at an established peer.
// A peer is a usable server for which isPeer returns true, and established if it is not in
// slow start itself. Without such a peer there is no bound. The caller holds mu.
func (p *Placer) withinSlowStart(now time.Time, s *server, isPeer func(m registrar.Member) bool) bool {
	share := p.slowStartShare(now, s)
	if share >= 1 {
		return true
	}
	busiest, established := 0, false
	for _, peer := range p.servers {
		if peer != s && isPeer(peer.member) && p.usable(now, peer) && p.slowStartShare(now, peer) >= 1 {
			busiest = max(busiest, peer.outstanding)
			established = true
		}
	}
	return !established || float64(s.outstanding) < 1+share*float64(busiest)
}

// slowStartShare returns the share of a peer's work that s may have at now. The caller
// holds mu.
func (p *Placer) slowStartShare(now time.Time, s *server) float64 {
	startedAt := s.joinedAt
	if at := p.Ejector.EjectionEnd(s.member.Name); at.After(startedAt) {
		startedAt = at
	}
	age := now.Sub(startedAt)
	if startedAt.IsZero() || age >= p.SlowStart {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*max(age.Seconds(), 0)/p.SlowStart.Seconds()
}

// logEjection logs an ejection.
func (p *Placer) logEjection(now time.Time, name string, result ejector.Result) {
	if result.Ejected {
		p.Log.Emit(now, logger.BackendEjected, "", logger.F("server", name), logger.F("for", result.Duration), logger.F("slow", result.Slow))
	}
}

// routerServer returns s as a router.Server. ejectionEnd is the end of the last ejection;
// the zero time for none.
func (s *server) routerServer(ejectionEnd time.Time) router.Server {
	startedAt := s.joinedAt
	if ejectionEnd.After(startedAt) {
		startedAt = ejectionEnd
	}
	m := s.member
	listed := router.Server{
		Name: m.Name, FailureDomain: m.FailureDomain, Region: m.Region, MemoryTokens: int(m.Backend.MemoryTokens),
		JoinedAt: startedAt, Incarnation: m.Incarnation,
	}
	for _, loaded := range m.Backend.Models {
		listed.Models = append(listed.Models, router.Model{Model: loaded.Model, Adapter: loaded.Adapter, Version: loaded.Version})
	}
	return listed
}

// groupsOf returns the groups of a backend server. Ejections are bounded for each group.
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
