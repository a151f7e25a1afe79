package checker

import (
	"time"

	"verbenareach/internal/replay/replayer"
)

// leavePeriod is a period in which a backend server is leaving.
type leavePeriod struct {
	server string
	from   time.Duration
	// until is 0 if the server has not returned.
	until time.Duration
}

// checkPlannedStops checks that no new work began at a leaving backend server and
// that no planned stop interrupted a generation.
func (c *check) checkPlannedStops() {
	periods, rejected := c.leavePeriods()
	var newWork, cut tally
	for _, g := range c.result.Generations {
		for i, v := range g.Attempts {
			if a, late := c.beganWhileLeaving(g, v, periods); late {
				newWork.add(1, "%s (%s) began at %s %s after its leave mark", g.Step.Generate.Name, g.ID, v.Server, round(v.At-a.from))
			}
			if a, left := movedWhileLeaving(g, i, periods); left && !c.hasFault(a.server) {
				cut.add(1, "%s (%s) was moved off %s, which was leaving", g.Step.Generate.Name, g.ID, a.server)
			}
		}
		for _, s := range c.result.Stops {
			for _, b := range g.Disconnects {
				// A request that has no token yet is not in progress: it is just sent again.
				if b.Entry == s.Process && b.At >= s.At && g.Tokens > 0 && len(g.Attempts) > 0 && g.Attempts[0].At < b.At {
					cut.add(1, "%s (%s) broke off at %s, which was stopping", g.Step.Generate.Name, g.ID, s.Process)
				}
			}
		}
	}
	c.addZeroRow("marks not accepted", rejected)
	c.addZeroRow("new work at a leaving backend server", newWork)
	c.addZeroRow("generations cut by a planned stop", cut)
}

func (c *check) leavePeriods() ([]leavePeriod, tally) {
	var all []leavePeriod
	var rejected tally
	for _, m := range c.result.Marks {
		if m.Err != "" {
			rejected.add(1, "%s: %s", m.Server, m.Err)
			continue
		}
		if m.Leaving {
			all = append(all, leavePeriod{server: m.Server, from: m.At})
			continue
		}
		for i := range all {
			if all[i].server == m.Server && all[i].until == 0 {
				all[i].until = m.At
			}
		}
	}
	return all, rejected
}

// beganWhileLeaving reports whether an attempt began at a leaving backend server,
// later than drainDelay after the mark, and returns that server's leave period.
func (c *check) beganWhileLeaving(g replayer.Generation, v replayer.Attempt, periods []leavePeriod) (leavePeriod, bool) {
	for _, a := range periods {
		deadline := a.from + drainDelay
		if a.server != v.Server || v.At < deadline || a.until > 0 && v.At > a.until {
			continue
		}
		// The first token may come late; the time of admission decides.
		if c.admitted == nil {
			return a, true
		}
		if at, known := c.admitted(g, v); !known || at >= deadline {
			return a, true
		}
	}
	return leavePeriod{}, false
}

// hasFault reports whether the trace injects a fault at a backend server.
func (c *check) hasFault(server string) bool {
	for _, s := range c.trace.Steps {
		if s.Fault != nil && s.Fault.Server == server {
			return true
		}
	}
	return false
}

// movedWhileLeaving reports whether the generation was moved off the backend server
// of its i-th attempt while that server was leaving, and returns its leave period.
func movedWhileLeaving(g replayer.Generation, i int, periods []leavePeriod) (leavePeriod, bool) {
	if i+1 >= len(g.Attempts) {
		return leavePeriod{}, false
	}
	v, next := g.Attempts[i], g.Attempts[i+1]
	for _, a := range periods {
		if a.server == v.Server && v.At < a.from && next.At > a.from && (a.until == 0 || next.At < a.until) {
			return a, true
		}
	}
	return leavePeriod{}, false
}
