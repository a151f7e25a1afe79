package checker

import (
	"time"

	"verbenareach/internal/replay/replayer"
)

// absence is the time in which a backend server is leaving.
type absence struct {
	server string
	from   time.Duration
	// until is 0 while it has not returned.
	until time.Duration
}

// plannedStops checks that nothing new began at a leaving backend server, and
// that no planned stop cut a generation.
func (c *check) plannedStops() {
	absences, rejected := c.absences()
	var newWork, cut tally
	for _, g := range c.result.Generations {
		for i, v := range g.Visits {
			if a, late := c.beganWhileLeaving(g, v, absences); late {
				newWork.add(1, "%s (%s) began at %s %s after its leave mark", g.Step.Generate.Name, g.ID, v.Server, round(v.At-a.from))
			}
			if a, left := leftWhileLeaving(g, i, absences); left && !c.faulted(a.server) {
				cut.add(1, "%s (%s) was moved off %s, which was leaving", g.Step.Generate.Name, g.ID, a.server)
			}
		}
		for _, s := range c.result.Stops {
			for _, b := range g.Breaks {
				// A request that no entry had taken is not in progress: it is just sent again.
				if b.Entry == s.Process && b.At >= s.At && g.Tokens > 0 && len(g.Visits) > 0 && g.Visits[0].At < b.At {
					cut.add(1, "%s (%s) broke off at %s, which was stopping", g.Step.Generate.Name, g.ID, s.Process)
				}
			}
		}
	}
	c.none("marks not accepted", rejected)
	c.none("new work at a leaving backend server", newWork)
	c.none("generations cut by a planned stop", cut)
}

func (c *check) absences() ([]absence, tally) {
	var all []absence
	var rejected tally
	for _, m := range c.result.Marks {
		if m.Err != "" {
			rejected.add(1, "%s: %s", m.Server, m.Err)
			continue
		}
		if m.Leaving {
			all = append(all, absence{server: m.Server, from: m.At})
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

// beganWhileLeaving tells whether an attempt began after its backend server had
// to be out of use.
func (c *check) beganWhileLeaving(g replayer.Generation, v replayer.Visit, absences []absence) (absence, bool) {
	for _, a := range absences {
		deadline := a.from + drainDelay
		if a.server != v.Server || v.At < deadline || a.until > 0 && v.At > a.until {
			continue
		}
		// The first token came late; what counts is when the attempt was admitted.
		if c.admitted == nil {
			return a, true
		}
		if at, known := c.admitted(g, v); !known || at >= deadline {
			return a, true
		}
	}
	return absence{}, false
}

// faulted tells whether the trace brings a fault about at a backend server.
func (c *check) faulted(server string) bool {
	for _, s := range c.trace.Steps {
		if s.Fault != nil && s.Fault.Server == server {
			return true
		}
	}
	return false
}

// leftWhileLeaving tells whether the i-th attempt was given up at a backend
// server that was leaving while the attempt ran.
func leftWhileLeaving(g replayer.Generation, i int, absences []absence) (absence, bool) {
	if i+1 >= len(g.Visits) {
		return absence{}, false
	}
	v, next := g.Visits[i], g.Visits[i+1]
	for _, a := range absences {
		if a.server == v.Server && v.At < a.from && next.At > a.from && (a.until == 0 || next.At < a.until) {
			return a, true
		}
	}
	return absence{}, false
}
