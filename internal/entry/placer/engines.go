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

// ChooseEngine waits in the queue until an engine is expected to have room for a
// generation, and reserves that room. An engine in avoid is chosen only if there is no
// other. It fails with a queuer.RefusedError, or with ctx's error.
func (p *Placer) ChooseEngine(ctx context.Context, now time.Time, start *messenger.GenerateStart, avoid []relayer.Target, deadline time.Time) (relayer.Target, error) {
	p.updateView(now)
	var target relayer.Target
	contract, _ := p.View().Contract(start.GetWorkspace())
	req := p.routerRequest(start, avoid)
	err := p.Queue.Wait(ctx, now, queuer.Request{
		Class:     queueClass(start),
		Workspace: start.GetWorkspace(),
		Share:     contract.Share,
		Priority:  contract.Priority + priorityBoost(start),
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

// ReportGeneration releases the room of an attempt and records its outcome.
func (p *Placer) ReportGeneration(now time.Time, target relayer.Target, outcome relayer.Outcome) {
	p.Router.Done(now, target.Server, target.Reserved)
	p.reportToRouter(target, outcome)
	if outcome.Ended && p.Ended != nil {
		p.Ended(outcome.Start)
	}
	p.mu.Lock()
	s := p.servers[target.Server]
	if s != nil {
		s.outstanding = max(0, s.outstanding-1)
		p.recordOutcome(now, s, outcome)
	}
	p.mu.Unlock()
	if s != nil && outcome.Admitted {
		p.Queue.Sweep(now)
	}
}

// recordOutcome updates the backoff and the ejection of s after an attempt. All outcomes of
// an engine count in the group of its first model. The caller holds mu.
func (p *Placer) recordOutcome(now time.Time, s *server, outcome relayer.Outcome) {
	name := s.member.Name
	group := ""
	if len(s.member.Backend.Models) > 0 {
		group = modelGroup(s.member.Backend.Models[0].Model)
	}
	switch {
	case outcome.CallerGone:
		// The outcome says nothing about the backend server.
	case outcome.Reason == messenger.DeclineReason_DECLINE_REASON_MEMORY:
		// Declined or preempted for lack of room, which is no failure.
		s.backoffUntil = now.Add(noRoomBackoff(outcome.RetryAfter))
	case outcome.Reason != messenger.DeclineReason_DECLINE_REASON_UNSPECIFIED:
		// Declined or lost for another reason that the agent gave, which is no failure.
		s.backoffUntil = now.Add(failureBackoff)
	case !outcome.Admitted, outcome.Lost:
		s.backoffUntil = now.Add(failureBackoff)
		p.logEjection(now, name, p.Ejector.RecordFailure(now, group, name))
	default:
		s.backoffUntil = time.Time{}
		p.logEjection(now, name, p.Ejector.RecordSuccess(now, group, name, outcome.FirstToken))
	}
}

// place reserves room at the best candidate that may get the generation. The verdict is
// NoRoom if no candidate may get it now, and NoServer if no engine has the model but those
// that are leaving. It is called by one goroutine at a time.
func (p *Placer) place(now time.Time, start *messenger.GenerateStart, req *router.Request) (relayer.Target, queuer.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var buf [4]router.Candidate
	for _, c := range p.candidates(now, req, buf[:0]) {
		s := p.servers[c.Name]
		if s == nil || !p.withinSlowStart(now, s, func(m registrar.Member) bool {
			return m.Backend.Serves(start.GetModel(), start.GetAdapter(), start.GetVersion())
		}) {
			continue
		}
		s.outstanding++
		p.Router.RecordSent(now, c.Name, req, req.Expected)
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

// candidates appends the router's candidates to dst. Servers that the request should
// avoid are included only if there are no others. The caller holds mu, so that the router's
// Usable can be set here.
func (p *Placer) candidates(now time.Time, req *router.Request, dst []router.Candidate) []router.Candidate {
	p.Router.Usable = func(name string) bool {
		s := p.servers[name]
		return s != nil && p.usable(now, s)
	}
	found := p.Router.Choose(now, req, dst)
	if len(found) > 0 || len(req.Avoid) == 0 {
		return found
	}
	relaxed := *req
	relaxed.Avoid = nil
	return p.Router.Choose(now, &relaxed, dst)
}

// routerRequest returns the router's form of a generation. Its expected memory is that of the
// prompt and of all generated tokens, those delivered before included.
func (p *Placer) routerRequest(start *messenger.GenerateStart, avoid []relayer.Target) *router.Request {
	delivered := len(start.GetDelivered())
	// expected is the number of tokens still to generate, until delivered is added.
	expected := defaultExpectedTokens
	if p.Expect != nil {
		expected = p.Expect(start)
	}
	if maxTokens := int(start.GetMaxTokens()); maxTokens > 0 {
		expected = min(expected, maxTokens-delivered)
	}
	expected += delivered
	req := &router.Request{
		Model:        router.Model{Model: start.GetModel(), Adapter: start.GetAdapter(), Version: start.GetVersion()},
		PromptTokens: int(start.GetPromptTokens()),
		Blocks:       start.GetPrefixHashes(),
		Expected:     int(start.GetPromptTokens()) + expected,
	}
	for _, t := range avoid {
		req.Avoid = append(req.Avoid, t.Server)
	}
	return req
}

// serves reports whether an engine that isn't leaving has the model of start, even if it
// can't be used now. The caller holds mu.
func (p *Placer) serves(start *messenger.GenerateStart) bool {
	for _, s := range p.servers {
		if !s.mark.Leaving && s.member.Backend.Serves(start.GetModel(), start.GetAdapter(), start.GetVersion()) {
			return true
		}
	}
	return false
}

// queueClass returns the queue's class of start: generations compete for engines with the same
// model, adapter and version.
func queueClass(start *messenger.GenerateStart) string {
	return start.GetModel() + "/" + start.GetAdapter() + "/" + start.GetVersion()
}

// reportToRouter passes the load and the prefix cache hit of an attempt to the router.
func (p *Placer) reportToRouter(target relayer.Target, outcome relayer.Outcome) {
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

// priorityBoost returns the addition to the priority of an interrupted generation, whose
// caller has already received tokens. It is 0 for others.
func priorityBoost(start *messenger.GenerateStart) int32 {
	if len(start.GetDelivered()) == 0 {
		return 0
	}
	return resumedPriorityBoost
}

// noRoomBackoff returns the backoff of a full backend server: its own retryAfter up to
// maxNoRoomBackoff, or the default without one.
func noRoomBackoff(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return defaultNoRoomBackoff
	}
	return min(retryAfter, maxNoRoomBackoff)
}
