package checker

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/replay/replayer"
	"verbenareach/internal/replay/tracer"
	"verbenareach/internal/report/reporter"
)

// sample is a trace and a run of it that meets all outcomes.
func sample() (tracer.Trace, replayer.Result) {
	zero := 0
	trace := tracer.Trace{
		Header: tracer.Header{
			Trace: "sample", System: tracer.System{Service: "rota"},
			Outcomes: tracer.Outcomes{
				Incomplete: &zero, Refused: &zero, Unknown: &zero, UnknownCalls: &zero, Stalls: &zero, Preemptions: &zero,
				FirstTokenP95: parser.Duration(time.Second), BetweenTokensP95: parser.Duration(50 * time.Millisecond),
				Interruption: parser.Duration(time.Second), StallTime: parser.Duration(time.Second),
			},
		},
		Contracts: map[string]registrar.Contract{"w": {Workspace: "w", Services: []registrar.ServiceRight{{Name: "rota"}}}},
	}
	result := replayer.Result{
		FirstTokens: reporter.NewHistogram(), Gaps: reporter.NewHistogram(), PreemptionsKnown: true,
		Generations: []replayer.Generation{{
			Step: tracer.Step{Generate: &tracer.Generate{Name: "g", Workspace: "w", Length: 10}}, ID: "id", Ending: replayer.EndedWhole,
			Tokens: 10, Attempts: []replayer.Attempt{{Server: "engine", Epoch: 1, At: 2 * time.Second}}, EndedAt: 9 * time.Second,
		}},
		Calls: []replayer.Call{{
			Step: tracer.Step{Call: &tracer.Call{Name: "b", Workspace: "w", Method: "POST", Path: "swaps", Reference: "s"}},
			Runs: 1, Answers: []replayer.Answer{{Status: 201, Ran: "yes"}},
		}},
		Marks: []replayer.Mark{{Server: "engine", Leaving: true, At: 3 * time.Second}, {Server: "engine", At: 20 * time.Second}},
		Stops: []replayer.Stop{{Process: "entry", At: 4 * time.Second}},
	}
	return trace, result
}

// TestEachOutcomeCanBeMissed changes one value of the sample run at a time and checks
// which outcome is missed.
func TestEachOutcomeCanBeMissed(t *testing.T) {
	generation := func(f func(*replayer.Generation)) func(*replayer.Result) {
		return func(r *replayer.Result) { f(&r.Generations[0]) }
	}
	call := func(runs int, answers ...replayer.Answer) func(*replayer.Result) {
		return func(r *replayer.Result) { r.Calls[0].Runs, r.Calls[0].Answers = runs, answers }
	}
	yes, no := replayer.Answer{Status: 201, Ran: "yes"}, replayer.Answer{Status: 503, Ran: "no"}
	unknown := replayer.Answer{Status: 504, Ran: "unknown"}
	tests := []struct {
		name   string
		change func(*replayer.Result)
		missed string
	}{
		{"all met", func(*replayer.Result) {}, ""},
		{"lost", generation(func(g *replayer.Generation) { g.Lost = 1 }), "lost tokens"},
		{"doubled", generation(func(g *replayer.Generation) { g.Doubled = 1 }), "doubled or out-of-order tokens"},
		{"wrong", generation(func(g *replayer.Generation) { g.Wrong = 1 }), "tokens of another generation"},
		{"incomplete", generation(func(g *replayer.Generation) { g.Ending = replayer.EndedIncomplete }), "incomplete generations"},
		{"refused", generation(func(g *replayer.Generation) { g.Ending = replayer.EndedRefused }), "refused generations"},
		{"no end", generation(func(g *replayer.Generation) { g.Ending = replayer.EndedUnknown }), "generations of unknown end"},
		{"interruption", generation(func(g *replayer.Generation) { g.LongestGap = 2 * time.Second }), "longest interruption"},
		{"stall", generation(func(g *replayer.Generation) { g.Stalls = 1 }), "stalls"},
		{"stall time", generation(func(g *replayer.Generation) { g.StallTime = 2 * time.Second }), "stall time"},
		{"late first token", func(r *replayer.Result) { _ = r.FirstTokens.RecordValue(20_000) }, "first token, 95 in 100"},
		{"late tokens", func(r *replayer.Result) { _ = r.Gaps.RecordValue(2_000) }, "between tokens, 95 in 100"},
		{"preempted", func(r *replayer.Result) { r.Preemptions = 1 }, "preemptions"},
		{"preemptions unknown", func(r *replayer.Result) { r.PreemptionsKnown = false }, "preemptions"},
		{"booked twice", call(2, yes), "doubled bookings"},
		{"not run, but ran", call(1, unknown, no), "false \"not run\""},
		{"not run in truth", call(0, unknown, no), ""},
		{"ran, but did not", call(0, yes), "false \"ran\""},
		{"refused, then ran", call(1, no, yes), ""},
		{"never known", call(1, unknown, unknown), "calls of unknown outcome"},
		{"unknown after no", call(1, no, unknown), "calls of unknown outcome"},
		{"mark refused", func(r *replayer.Result) { r.Marks[0].Err = "conflict" }, "marks not accepted"},
		{"new work too late", generation(func(g *replayer.Generation) { g.Attempts[0].At = 7 * time.Second }), "new work at a leaving backend server"},
		{"new work in time", generation(func(g *replayer.Generation) { g.Attempts[0].At = 5900 * time.Millisecond }), ""},
		{"new work after return", generation(func(g *replayer.Generation) { g.Attempts[0].At = 21 * time.Second }), ""},
		{"moved off", generation(func(g *replayer.Generation) {
			g.Attempts = append(g.Attempts, replayer.Attempt{Server: "other", Epoch: 2, At: 5 * time.Second})
		}), "generations cut by a planned stop"},
		{"moved before the mark", generation(func(g *replayer.Generation) {
			g.Attempts = append(g.Attempts, replayer.Attempt{Server: "other", Epoch: 2, At: 2500 * time.Millisecond})
		}), ""},
		{"broke off at a stop", generation(func(g *replayer.Generation) {
			g.Disconnects = []replayer.Disconnect{{Entry: "entry", At: 5 * time.Second}}
		}), "generations cut by a planned stop"},
		{"broke off elsewhere", generation(func(g *replayer.Generation) {
			g.Disconnects = []replayer.Disconnect{{Entry: "other", At: 5 * time.Second}}
		}), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			trace, result := sample()
			tt.change(&result)
			v := Check(trace, result, nil)
			var missed []string
			for _, r := range v.Rows {
				if !r.OK {
					missed = append(missed, r.Outcome)
				}
			}
			if got := strings.Join(missed, ", "); got != tt.missed || v.OK != (tt.missed == "") {
				t.Errorf("missed %q, want %q; ok %v", got, tt.missed, v.OK)
			}
			var text bytes.Buffer
			if err := v.Print(&text); err != nil || strings.Contains(text.String(), "MISSED") != (tt.missed != "") {
				t.Errorf("%v, printed:\n%s", err, &text)
			}
		})
	}
}

// TestLateFirstTokenOfEarlyWork checks that work admitted before the leave mark is not
// counted as new if its first token arrives long after the mark.
func TestLateFirstTokenOfEarlyWork(t *testing.T) {
	for _, admittedAt := range []time.Duration{2 * time.Second, 8 * time.Second} {
		trace, result := sample()
		result.Generations[0].Attempts[0].At = 9 * time.Second
		v := Check(trace, result, func(replayer.Generation, replayer.Attempt) (time.Duration, bool) { return admittedAt, true })
		if v.OK != (admittedAt == 2*time.Second) {
			t.Errorf("admitted at %v: ok %v", admittedAt, v.OK)
		}
	}
}
