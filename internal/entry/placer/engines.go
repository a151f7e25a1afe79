package placer

import (
	"context"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/queuer"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/entry/router"
	"verbenareach/internal/wire/messenger"
)

// ChooseEngine waits in line until an engine is held to have room for a
// generation, and counts the generation there. It fails with a
// queuer.RefusedError, or with ctx's error.
func (p *Placer) ChooseEngine(ctx context.Context, now time.Time, start *messenger.GenerateStart, avoid []relayer.Target, deadline time.Time) (relayer.Target, error) {
	p.follow(now)
	var target relayer.Target
	contract, _ := p.View().Contract(start.GetWorkspace())
	req := p.routeRequest(start, avoid)
	err := p.Queue.Wait(ctx, now, queuer.Request{
		Class:     class(start),
		Workspace: start.GetWorkspace(),
		Share:     contract.Share,
		Priority:  contract.Priority + resumedFirst(start),
		Cost:      float64(req.Expected),
		Deadline:  deadline,
		Place: func(now time.Time) queuer.Verdict {
			chosen, verdict := p.place(now, start, req)
			target = chosen
			return verdict
		},
	})
	return target, err
}

// ReportGeneration notes how an attempt went.
func (p *Placer) ReportGeneration(now time.Time, target relayer.Target, outcome relayer.Outcome) {
	p.Router.Done(now, target.Server, target.Reserved)
	p.tellRouter(target, outcome)
	if outcome.Ended && p.Ended != nil {
		p.Ended(outcome.Start)
	}
	p.mu.Lock()
	s := p.servers[target.Server]
	if s != nil {
		s.outstanding = max(0, s.outstanding-1)
		p.judge(now, s, outcome)
	}
	p.mu.Unlock()
	if s != nil && outcome.Admitted {
		p.Queue.Sweep(now)
	}
}

// judge draws conclusions from an attempt; the caller holds mu.
func (p *Placer) judge(now time.Time, s *server, outcome relayer.Outcome) {
	name := s.member.Name
	group := ""
	if len(s.member.Backend.Models) > 0 {
		group = modelGroup(s.member.Backend.Models[0].Model)
	}
	switch {
	case outcome.CallerGone:
		// It tells nothing of the backend server.
	case outcome.Reason == messenger.DeclineReason_DECLINE_REASON_MEMORY:
		s.closedUntil = now.Add(pauseFor(outcome.RetryAfter))
	case outcome.Reason != messenger.DeclineReason_DECLINE_REASON_UNSPECIFIED:
		s.closedUntil = now.Add(awayPause)
	case !outcome.Admitted, outcome.Lost:
		s.closedUntil = now.Add(awayPause)
		p.note(now, name, p.Ejector.Fail(now, group, name))
	default:
		s.closedUntil = time.Time{}
		p.note(now, name, p.Ejector.Succeed(now, group, name, outcome.FirstToken))
	}
}

// place takes the best candidate that may get the generation. It is called by
// one goroutine at a time.
func (p *Placer) place(now time.Time, start *messenger.GenerateStart, req *router.Request) (relayer.Target, queuer.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var room [4]router.Candidate
	for _, c := range p.candidates(now, req, room[:0]) {
		s := p.servers[c.Name]
		if s == nil || !p.withinSlowStart(now, s, func(m registrar.Member) bool {
			return m.Backend.Serves(start.GetModel(), start.GetAdapter(), start.GetVersion())
		}) {
			continue
		}
		s.outstanding++
		p.Router.Sent(now, c.Name, req, req.Expected)
		return relayer.Target{
			Server: c.Name, Address: s.member.Address, Incarnation: s.member.Incarnation, Reserved: req.Expected,
			Cached: c.CachedTokens,
		}, queuer.Placed
	}
	if p.serves(start) {
		return relayer.Target{}, queuer.NoRoom
	}
	return relayer.Target{}, queuer.NoServer
}

// candidates asks the router; servers that the request should avoid come only
// where there is no other. The caller holds mu.
func (p *Placer) candidates(now time.Time, req *router.Request, dst []router.Candidate) []router.Candidate {
	p.Router.Usable = func(name string) bool {
		s := p.servers[name]
		return s != nil && p.usable(now, s)
	}
	found := p.Router.Choose(now, req, dst)
	if len(found) > 0 || len(req.Avoid) == 0 {
		return found
	}
	wider := *req
	wider.Avoid = nil
	return p.Router.Choose(now, &wider, dst)
}

func (p *Placer) routeRequest(start *messenger.GenerateStart, avoid []relayer.Target) *router.Request {
	made := len(start.GetDelivered())
	grown := defaultExpected
	if p.Expect != nil {
		grown = p.Expect(start)
	}
	if most := int(start.GetMaxTokens()); most > 0 {
		grown = min(grown, most-made)
	}
	grown += made
	req := &router.Request{
		Model:        router.Model{Model: start.GetModel(), Adapter: start.GetAdapter(), Version: start.GetVersion()},
		PromptTokens: int(start.GetPromptTokens()),
		Blocks:       start.GetPrefixHashes(),
		Expected:     int(start.GetPromptTokens()) + grown,
	}
	for _, t := range avoid {
		req.Avoid = append(req.Avoid, t.Server)
	}
	return req
}

// serves tells whether any engine that stays has the model; the caller holds mu.
func (p *Placer) serves(start *messenger.GenerateStart) bool {
	for _, s := range p.servers {
		if !s.mark.Leaving && s.member.Backend.Serves(start.GetModel(), start.GetAdapter(), start.GetVersion()) {
			return true
		}
	}
	return false
}

func class(start *messenger.GenerateStart) string {
	return start.GetModel() + "/" + start.GetAdapter() + "/" + start.GetVersion()
}

// tellRouter passes on what an attempt showed of its backend server.
func (p *Placer) tellRouter(target relayer.Target, outcome relayer.Outcome) {
	if l := outcome.Load; l != nil && l.GetReportedAt() != 0 {
		p.Router.Report(target.Server, router.Load{
			Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), MemoryTotal: int(l.GetMemoryTokensTotal()),
			MemoryUsed: int(l.GetMemoryTokensUsed()), MemoryExpected: int(l.GetMemoryTokensExpected()),
			ReportedAt: time.Unix(0, l.GetReportedAt()), Leaving: l.GetLeaving(),
		})
	}
	if outcome.Ended {
		p.Router.Confirm(target.Server, target.Cached, outcome.CachedTokens)
	}
}

// resumedFirst returns what an interrupted generation's priority is raised by:
// its caller has begun to read.
func resumedFirst(start *messenger.GenerateStart) int32 {
	if len(start.GetDelivered()) == 0 {
		return 0
	}
	return resumedPriority
}

// pauseFor returns how long a full backend server is left alone: as long as it
// says, within reason.
func pauseFor(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return fullPause
	}
	return min(retryAfter, longestPause)
}
