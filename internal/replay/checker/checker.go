// Package checker checks the results of a replayed trace against the invariants of
// every run and the trace's stated outcomes.
package checker

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareach/internal/replay/replayer"
	"verbenareach/internal/replay/tracer"
	"verbenareach/internal/report/reporter"
)

const (
	// drainDelay is how long after an accepted leave mark new work may still begin.
	drainDelay = 3 * time.Second
	// shownExamples bounds the examples of each missed outcome.
	shownExamples = 5
)

type (
	// Verdict is the result of checking a run.
	Verdict struct {
		Trace string `json:"trace"`
		// OK reports whether all outcomes were met.
		OK          bool    `json:"ok"`
		TookSeconds float64 `json:"tookSeconds"`
		Generations int     `json:"generations"`
		Tokens      int     `json:"tokens"`
		Calls       int     `json:"calls"`
		// Rows are the outcomes; the invariants come first.
		Rows []Row `json:"rows"`
		// NotDriven describes the steps that the run could not execute.
		NotDriven []string `json:"notDriven,omitempty"`
	}

	// Row is one outcome.
	Row struct {
		Outcome string `json:"outcome"`
		// Stated is the required value; empty for a value that is only reported.
		Stated string `json:"stated,omitempty"`
		Seen   string `json:"seen"`
		OK     bool   `json:"ok"`
		// Examples name requests that missed the outcome.
		Examples []string `json:"examples,omitempty"`
	}

	// Admitted returns when a backend server admitted an attempt of a generation, as
	// an offset from the start of the run; known is false if there is no record of it.
	Admitted func(g replayer.Generation, v replayer.Attempt) (at time.Duration, known bool)

	// tally counts what misses an outcome, with examples.
	tally struct {
		n        int
		examples []string
	}

	check struct {
		trace    tracer.Trace
		result   replayer.Result
		admitted Admitted
		rows     []Row
	}
)

// Check checks a result against its trace. If admitted is nil, the times of the first
// tokens, which are later, decide whether work was new after a leave mark.
func Check(trace tracer.Trace, result replayer.Result, admitted Admitted) Verdict {
	c := &check{trace: trace, result: result, admitted: admitted}
	c.checkTokens()
	c.checkBookings()
	c.checkPlannedStops()
	c.checkEndings()
	c.checkTimes()
	v := Verdict{
		Trace: trace.Trace, OK: true, TookSeconds: result.Took.Seconds(), Generations: len(result.Generations),
		Calls: len(result.Calls), Rows: c.rows, NotDriven: result.NotDriven,
	}
	for _, g := range result.Generations {
		v.Tokens += g.Tokens
	}
	for _, r := range c.rows {
		v.OK = v.OK && r.OK
	}
	return v
}

// Print writes the verdict as a table.
func (v Verdict) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s\n%d generations with %d tokens, %d calls, %.1f s\n\n", v.Trace, v.Generations, v.Tokens, v.Calls, v.TookSeconds)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "OUTCOME\tSTATED\tSEEN\t")
	for _, r := range v.Rows {
		mark := "ok"
		switch {
		case !r.OK:
			mark = "MISSED"
		case r.Stated == "":
			mark = ""
		}
		stated := r.Stated
		if stated == "" {
			stated = "-"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", r.Outcome, stated, r.Seen, mark)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range v.Rows {
		for _, e := range r.Examples {
			fmt.Fprintf(w, "\n  %s: %s", r.Outcome, e)
		}
	}
	for _, n := range v.NotDriven {
		fmt.Fprintf(w, "\n  not driven: %s", n)
	}
	fmt.Fprintln(w)
	_, err := fmt.Fprintln(w, v.conclusion())
	return err
}

func (v Verdict) conclusion() string {
	missed := 0
	for _, r := range v.Rows {
		if !r.OK {
			missed++
		}
	}
	switch {
	case missed > 0:
		return fmt.Sprintf("Outcomes missed: %d.", missed)
	case len(v.NotDriven) > 0:
		return fmt.Sprintf("All outcomes met, but steps of the trace were not driven: %d.", len(v.NotDriven))
	}
	return "All outcomes met."
}

func (t *tally) add(n int, format string, args ...any) {
	if n == 0 {
		return
	}
	t.n += n
	if len(t.examples) < shownExamples {
		t.examples = append(t.examples, fmt.Sprintf(format, args...))
	}
}

// addCountRow adds a row for a count that must not exceed limit; a nil limit only
// reports the count.
func (c *check) addCountRow(outcome string, limit *int, t tally) {
	row := Row{Outcome: outcome, Seen: fmt.Sprint(t.n), OK: true}
	if limit != nil {
		row.Stated = fmt.Sprintf("at most %d", *limit)
		if *limit == 0 {
			row.Stated = "0"
		}
		row.OK = t.n <= *limit
	}
	if !row.OK {
		row.Examples = t.examples
	}
	c.rows = append(c.rows, row)
}

func (c *check) addZeroRow(outcome string, t tally) {
	zero := 0
	c.addCountRow(outcome, &zero, t)
}

// addDurationRow adds a row for a time that must not exceed limit; a limit of 0 only
// reports the time.
func (c *check) addDurationRow(outcome string, limit, seen time.Duration) {
	row := Row{Outcome: outcome, Seen: round(seen).String(), OK: true}
	if limit > 0 {
		row.Stated = "within " + limit.String()
		row.OK = seen <= limit
	}
	c.rows = append(c.rows, row)
}

// checkTokens checks that each token arrived once, in order and with the right text.
func (c *check) checkTokens() {
	var lost, doubled, wrong tally
	for _, g := range c.result.Generations {
		name := g.Step.Generate.Name
		lost.add(g.Lost, "%s (%s) lacks %d tokens", name, g.ID, g.Lost)
		doubled.add(g.Doubled, "%s (%s) has %d tokens again", name, g.ID, g.Doubled)
		wrong.add(g.Wrong, "%s (%s) has %d tokens with another text", name, g.ID, g.Wrong)
	}
	c.addZeroRow("lost tokens", lost)
	c.addZeroRow("doubled or out-of-order tokens", doubled)
	c.addZeroRow("tokens of another generation", wrong)
}

// checkBookings checks that each booking ran at most once and that the callers were
// told correctly whether it ran.
func (c *check) checkBookings() {
	var doubled, falseNotRun, falseRun, uncounted tally
	for _, call := range c.result.Calls {
		step := call.Step.Call
		contract := c.trace.Contracts[step.Workspace]
		repeatable, _ := contract.Repeatable(c.trace.System.Service, step.Method, "/"+strings.TrimPrefix(step.Path, "/"))
		if !step.IsBooking() || repeatable {
			continue
		}
		if call.Runs < 0 {
			uncounted.add(1, "%s", step.Name)
			continue
		}
		doubled.add(max(call.Runs-1, 0), "%s ran %d times", step.Name, call.Runs)
		last, known := lastKnownRan(call.Answers)
		if known && last == "no" && call.Runs > 0 {
			falseNotRun.add(1, "%s was told not to have run, but ran", step.Name)
		}
		if known && last == "yes" && call.Runs == 0 {
			falseRun.add(1, "%s was told to have run, but did not", step.Name)
		}
	}
	c.addZeroRow("doubled bookings", doubled)
	c.addZeroRow("false \"not run\"", falseNotRun)
	c.addZeroRow("false \"ran\"", falseRun)
	if uncounted.n > 0 {
		c.addCountRow("bookings whose count nobody could tell", nil, uncounted)
	}
}

// lastKnownRan returns what the caller knows in the end about whether a call ran. A yes
// is final; a no doesn't count if the last answer is unknown.
func lastKnownRan(answers []replayer.Answer) (ran string, known bool) {
	for _, a := range answers {
		if a.Ran == "yes" || a.Ran == "no" && ran != "yes" {
			ran, known = a.Ran, true
		}
	}
	if len(answers) > 0 && answers[len(answers)-1].Ran == "unknown" && ran != "yes" {
		return "", false
	}
	return ran, known
}

// checkEndings counts requests by how they ended.
func (c *check) checkEndings() {
	var incomplete, refused, unknown, moved, unknownCalls tally
	for _, g := range c.result.Generations {
		name := g.Step.Generate.Name
		switch g.Ending {
		case replayer.EndedIncomplete:
			incomplete.add(1, "%s (%s) after %d tokens: %s", name, g.ID, g.Tokens, g.Cause)
		case replayer.EndedRefused:
			refused.add(1, "%s: %s", name, g.Cause)
		case replayer.EndedUnknown:
			unknown.add(1, "%s (%s) after %d tokens: %s", name, g.ID, g.Tokens, g.Cause)
		}
		moved.add(max(len(g.Attempts)-1, 0), "%s", name)
	}
	for _, call := range c.result.Calls {
		last := call.Answers[len(call.Answers)-1]
		if last.Status == 0 || last.Ran == "unknown" {
			unknownCalls.add(1, "%s: %s", call.Step.Call.Name, last.Code)
		}
	}
	o := c.trace.Outcomes
	c.addCountRow("incomplete generations", o.Incomplete, incomplete)
	c.addCountRow("refused generations", o.Refused, refused)
	c.addCountRow("generations of unknown end", o.Unknown, unknown)
	c.addCountRow("calls of unknown outcome", o.UnknownCalls, unknownCalls)
	c.addCountRow("moves to another attempt", nil, moved)
}

// checkTimes checks latencies, stalls and preemptions.
func (c *check) checkTimes() {
	o := c.trace.Outcomes
	c.addDurationRow("first token, 50 in 100", 0, percentile(c.result.FirstTokens, 50))
	c.addDurationRow("first token, 95 in 100", time.Duration(o.FirstTokenP95), percentile(c.result.FirstTokens, 95))
	c.addDurationRow("between tokens, 50 in 100", 0, percentile(c.result.Gaps, 50))
	c.addDurationRow("between tokens, 95 in 100", time.Duration(o.BetweenTokensP95), percentile(c.result.Gaps, 95))
	c.addDurationRow("between tokens, 99 in 100", time.Duration(o.BetweenTokensP99), percentile(c.result.Gaps, 99))
	var longest, stallTime time.Duration
	var stalls tally
	for _, g := range c.result.Generations {
		longest = max(longest, g.LongestGap)
		stallTime += g.StallTime
		stalls.add(g.Stalls, "%s (%s): %d stalls of %s together", g.Step.Generate.Name, g.ID, g.Stalls, round(g.StallTime))
	}
	c.addDurationRow("longest interruption", time.Duration(o.Interruption), longest)
	c.addCountRow("stalls", o.Stalls, stalls)
	c.addDurationRow("stall time", time.Duration(o.StallTime), stallTime)
	if c.result.PreemptionsKnown {
		c.addCountRow("preemptions", o.Preemptions, tally{n: int(c.result.Preemptions)})
	} else if o.Preemptions != nil {
		c.rows = append(c.rows, Row{Outcome: "preemptions", Stated: fmt.Sprintf("at most %d", *o.Preemptions), Seen: "the engines could not be asked"})
	}
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * reporter.Unit
}

func round(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}
