// Package checker compares what the callers of a replayed trace saw with what
// must always hold and with the trace's stated outcomes.
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
	// Verdict is how a run compares with its stated outcomes.
	Verdict struct {
		Trace string `json:"trace"`
		// OK tells that no outcome was missed.
		OK          bool    `json:"ok"`
		TookSeconds float64 `json:"tookSeconds"`
		Generations int     `json:"generations"`
		Tokens      int     `json:"tokens"`
		Calls       int     `json:"calls"`
		// Rows are the outcomes; those that must always hold come first.
		Rows []Row `json:"rows"`
		// NotDriven are steps that the run could not bring about.
		NotDriven []string `json:"notDriven,omitempty"`
	}

	// Row is one outcome.
	Row struct {
		Outcome string `json:"outcome"`
		// Stated is what the run must show; empty for a figure that is only told.
		Stated string `json:"stated,omitempty"`
		Seen   string `json:"seen"`
		OK     bool   `json:"ok"`
		// Examples name requests that missed the outcome.
		Examples []string `json:"examples,omitempty"`
	}

	// Admitted tells when a backend server admitted an attempt of a generation, as
	// an offset from the start of the run; known is false if nobody can tell.
	Admitted func(g replayer.Generation, v replayer.Visit) (at time.Duration, known bool)

	// tally counts requests that missed an outcome.
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

// Check compares a result with its trace. Without admitted, new work after a leave
// mark is judged by the first tokens, which come later.
func Check(trace tracer.Trace, result replayer.Result, admitted Admitted) Verdict {
	c := &check{trace: trace, result: result, admitted: admitted}
	c.tokens()
	c.bookings()
	c.plannedStops()
	c.endings()
	c.times()
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

// atMost adds a row for a count that may not be more than limit; nil states nothing.
func (c *check) atMost(outcome string, limit *int, t tally) {
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

func (c *check) none(outcome string, t tally) {
	zero := 0
	c.atMost(outcome, &zero, t)
}

// within adds a row for a time; 0 states nothing.
func (c *check) within(outcome string, limit, seen time.Duration) {
	row := Row{Outcome: outcome, Seen: round(seen).String(), OK: true}
	if limit > 0 {
		row.Stated = "within " + limit.String()
		row.OK = seen <= limit
	}
	c.rows = append(c.rows, row)
}

// tokens checks that each token came once, in order and with the right text.
func (c *check) tokens() {
	var lost, doubled, wrong tally
	for _, g := range c.result.Generations {
		name := g.Step.Generate.Name
		lost.add(g.Lost, "%s (%s) lacks %d tokens", name, g.ID, g.Lost)
		doubled.add(g.Doubled, "%s (%s) has %d tokens again", name, g.ID, g.Doubled)
		wrong.add(g.Wrong, "%s (%s) has %d tokens with another text", name, g.ID, g.Wrong)
	}
	c.none("lost tokens", lost)
	c.none("doubled or out-of-order tokens", doubled)
	c.none("tokens of another generation", wrong)
}

// bookings checks that each booking ran at most once and that its answers are true.
func (c *check) bookings() {
	var doubled, falseNotRun, falseRun, unasked tally
	for _, call := range c.result.Calls {
		step := call.Step.Call
		contract := c.trace.Contracts[step.Workspace]
		repeatable, _ := contract.Repeatable(c.trace.System.Service, step.Method, "/"+strings.TrimPrefix(step.Path, "/"))
		if !step.Books() || repeatable {
			continue
		}
		if call.Runs < 0 {
			unasked.add(1, "%s", step.Name)
			continue
		}
		doubled.add(max(call.Runs-1, 0), "%s ran %d times", step.Name, call.Runs)
		last, told := lastTold(call.Answers)
		if told && last == "no" && call.Runs > 0 {
			falseNotRun.add(1, "%s was told not to have run, but ran", step.Name)
		}
		if told && last == "yes" && call.Runs == 0 {
			falseRun.add(1, "%s was told to have run, but did not", step.Name)
		}
	}
	c.none("doubled bookings", doubled)
	c.none("false \"not run\"", falseNotRun)
	c.none("false \"ran\"", falseRun)
	if unasked.n > 0 {
		c.atMost("bookings whose count nobody could tell", nil, unasked)
	}
}

// lastTold returns what the caller was told last for sure; told is false if nothing was.
func lastTold(answers []replayer.Answer) (ran string, told bool) {
	for _, a := range answers {
		if a.Ran == "yes" || a.Ran == "no" && ran != "yes" {
			ran, told = a.Ran, true
		}
	}
	if len(answers) > 0 && answers[len(answers)-1].Ran == "unknown" && ran != "yes" {
		return "", false
	}
	return ran, told
}

// endings counts how the requests ended.
func (c *check) endings() {
	var incomplete, refused, unknown, moved, unsettled tally
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
		moved.add(max(len(g.Visits)-1, 0), "%s", name)
	}
	for _, call := range c.result.Calls {
		last := call.Answers[len(call.Answers)-1]
		if last.Status == 0 || last.Ran == "unknown" {
			unsettled.add(1, "%s: %s", call.Step.Call.Name, last.Code)
		}
	}
	o := c.trace.Outcomes
	c.atMost("incomplete generations", o.Incomplete, incomplete)
	c.atMost("refused generations", o.Refused, refused)
	c.atMost("generations of unknown end", o.Unknown, unknown)
	c.atMost("calls of unknown outcome", o.UnknownCalls, unsettled)
	c.atMost("moves to another attempt", nil, moved)
}

// times compares times and counts of trouble.
func (c *check) times() {
	o := c.trace.Outcomes
	c.within("first token, 50 in 100", 0, percentile(c.result.FirstTokens, 50))
	c.within("first token, 95 in 100", time.Duration(o.FirstTokenP95), percentile(c.result.FirstTokens, 95))
	c.within("between tokens, 50 in 100", 0, percentile(c.result.Gaps, 50))
	c.within("between tokens, 95 in 100", time.Duration(o.BetweenTokensP95), percentile(c.result.Gaps, 95))
	c.within("between tokens, 99 in 100", time.Duration(o.BetweenTokensP99), percentile(c.result.Gaps, 99))
	var longest, stallTime time.Duration
	var stalls tally
	for _, g := range c.result.Generations {
		longest = max(longest, g.LongestGap)
		stallTime += g.StallTime
		stalls.add(g.Stalls, "%s (%s): %d stalls of %s together", g.Step.Generate.Name, g.ID, g.Stalls, round(g.StallTime))
	}
	c.within("longest interruption", time.Duration(o.Interruption), longest)
	c.atMost("stalls", o.Stalls, stalls)
	c.within("stall time", time.Duration(o.StallTime), stallTime)
	if c.result.PreemptionsKnown {
		c.atMost("preemptions", o.Preemptions, tally{n: int(c.result.Preemptions)})
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
