// Package assessor merges the service levels of the entries and computes how
// fast each series burns the error budget of its contract.
package assessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

const (
	// DefaultObjective is the share of tokens that must meet their target if the contract sets no objective.
	DefaultObjective = 0.95
	// WholeObjective is the share of requests that must be answered completely.
	WholeObjective = 0.999
	// fastBurn is the burn that spends a fifth of the three-day error budget in one hour.
	fastBurn = 14.4
	// slowBurn is the burn that spends half of the three-day error budget in six hours.
	slowBurn = 6
	// minMissed is how many events must miss their target for a burn to be
	// urgent: without it, a single event of a rarely used series would be enough.
	minMissed = 3
)

// States of a series, in ascending order of urgency.
const (
	StateOK    = "ok"
	StateWatch = "watch"
	StateAct   = "act"
)

type (
	// Report holds the error-budget burn of each series, summed over all entries.
	Report struct {
		At time.Time `json:"at"`
		// Entries lists the entries that replied. Missing names the others; the report lacks their counts.
		Entries []Entry  `json:"entries"`
		Missing []string `json:"missing,omitempty"`
		// Partial is true if only the series that burn fastest are included.
		Partial bool `json:"partial,omitempty"`
		// Series are sorted by urgency, the most urgent first.
		Series []Series `json:"series"`
	}

	// Entry is an entry process whose counts are included.
	Entry struct {
		Name          string    `json:"name"`
		CountingSince time.Time `json:"countingSince"`
	}

	// Series is one workspace's use of one model.
	Series struct {
		Workspace string  `json:"workspace"`
		Model     string  `json:"model"`
		State     string  `json:"state"`
		Targets   Targets `json:"targets"`
		// BudgetLeft is computed over the longest window.
		BudgetLeft Budget `json:"budgetLeft"`
		// Windows are sorted by length, the shortest first.
		Windows []Window `json:"windows"`
	}

	// Targets are the targets of the contract; 0 means none. Times are in milliseconds.
	Targets struct {
		FirstTokenMillis    float64 `json:"firstTokenMillis"`
		BetweenTokensMillis float64 `json:"betweenTokensMillis"`
		Objective           float64 `json:"objective"`
	}

	// Budget is the share of each error budget that is left: 1 if nothing is
	// spent, negative if the budget is overspent.
	Budget struct {
		FirstToken    float64 `json:"firstToken"`
		BetweenTokens float64 `json:"betweenTokens"`
		Whole         float64 `json:"whole"`
	}

	// Window holds the counts of one span of time that ends with the report.
	Window struct {
		// Seconds is the length of the window.
		Seconds int64 `json:"seconds"`
		// Requests counts the requests that ended, complete or not. It excludes refused ones.
		Requests      uint64  `json:"requests"`
		FirstToken    Latency `json:"firstToken"`
		BetweenTokens Latency `json:"betweenTokens"`
		// WholeBurn is the burn of requests that were left incomplete or refused for lack of room.
		WholeBurn    float64 `json:"wholeBurn"`
		Stalls       uint64  `json:"stalls"`
		StallSeconds float64 `json:"stallSeconds"`
		Preemptions  uint64  `json:"preemptions"`
		Incomplete   uint64  `json:"incomplete"`
		RefusedLimit uint64  `json:"refusedLimit"`
		RefusedRoom  uint64  `json:"refusedRoom"`
	}

	// Latency is a latency distribution measured against its target. Times are in milliseconds.
	Latency struct {
		Count uint64  `json:"count"`
		Late  uint64  `json:"late"`
		P50   float64 `json:"p50Millis"`
		P95   float64 `json:"p95Millis"`
		P99   float64 `json:"p99Millis"`
		// Burn is the share of late events divided by the share that the objective allows.
		Burn float64 `json:"burn"`
		// Histogram is in units of reporter.Unit.
		Histogram *hdrhistogram.Histogram `json:"-"`
	}
)

// Assess adds up the replies of the entries and computes the burn and state of each series.
func Assess(now time.Time, replies []*messenger.BurnReply, missing []string) Report {
	report := Report{At: now.UTC(), Entries: []Entry{}, Missing: missing, Series: []Series{}}
	merged := make(map[reporter.Key]*messenger.BurnSeries)
	for _, reply := range replies {
		since := time.Unix(0, reply.GetCountingSince()).UTC()
		report.Entries = append(report.Entries, Entry{Name: reply.GetProcess(), CountingSince: since})
		for _, s := range reply.GetSeries() {
			merge(merged, s)
		}
	}
	for _, s := range merged {
		report.Series = append(report.Series, assessSeries(s))
	}
	slices.SortFunc(report.Series, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(stateRank(b.State), stateRank(a.State)), cmp.Compare(b.worstBurn(), a.worstBurn()),
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
	return report
}

// Length returns the window's length.
func (w Window) Length() time.Duration {
	return time.Duration(w.Seconds) * time.Second
}

// Burn returns the highest of the window's three burns.
func (w Window) Burn() float64 {
	return max(w.FirstToken.Burn, w.BetweenTokens.Burn, w.WholeBurn)
}

// urgent reports whether a target has at least the given burn and at least minMissed events that missed it.
func (w Window) urgent(burn float64) bool {
	failed := w.Incomplete + w.RefusedRoom
	return w.FirstToken.Burn >= burn && w.FirstToken.Late >= minMissed ||
		w.BetweenTokens.Burn >= burn && w.BetweenTokens.Late >= minMissed ||
		w.WholeBurn >= burn && failed >= minMissed
}

func (s Series) worstBurn() float64 {
	worst := 0.0
	for _, w := range s.Windows {
		worst = max(worst, w.Burn())
	}
	return worst
}

func assessSeries(s *messenger.BurnSeries) Series {
	objective := s.GetObjective()
	if objective <= 0 || objective >= 1 {
		objective = DefaultObjective
	}
	out := Series{
		Workspace: s.GetKey().GetWorkspace(), Model: s.GetKey().GetModel(),
		Targets: Targets{
			FirstTokenMillis:    millis(time.Duration(s.GetFirstTokenTarget())),
			BetweenTokensMillis: millis(time.Duration(s.GetBetweenTokensTarget())),
			Objective:           objective,
		},
	}
	for _, w := range s.GetWindows() {
		out.Windows = append(out.Windows, assessWindow(w, objective))
	}
	if n := len(out.Windows); n > 0 {
		longest := out.Windows[n-1]
		out.BudgetLeft = Budget{
			FirstToken:    1 - longest.FirstToken.Burn,
			BetweenTokens: 1 - longest.BetweenTokens.Burn,
			Whole:         1 - longest.WholeBurn,
		}
	}
	out.State = state(out.Windows)
	return out
}

func assessWindow(w *messenger.BurnWindow, objective float64) Window {
	sum := w.GetSum()
	failed := sum.GetIncomplete() + sum.GetRefusedRoom()
	return Window{
		Seconds:       int64(time.Duration(w.GetLengthNanos()) / time.Second),
		Requests:      sum.GetRequests(),
		FirstToken:    latency(reporter.FirstTokens(sum), sum.GetFirstTokens(), sum.GetFirstTokensLate(), objective),
		BetweenTokens: latency(reporter.Gaps(sum), sum.GetGaps(), sum.GetGapsLate(), objective),
		WholeBurn:     burn(failed, sum.GetRequests()+sum.GetRefusedRoom(), WholeObjective),
		Stalls:        sum.GetStalls(),
		StallSeconds:  time.Duration(sum.GetStallNanos()).Seconds(),
		Preemptions:   sum.GetPreemptions(),
		Incomplete:    sum.GetIncomplete(),
		RefusedLimit:  sum.GetRefusedLimit(),
		RefusedRoom:   sum.GetRefusedRoom(),
	}
}

// burn returns how many times faster than allowed the error budget is spent.
func burn(bad, all uint64, objective float64) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / (1 - objective)
}

func latency(h *hdrhistogram.Histogram, count, late uint64, objective float64) Latency {
	percentile := func(p float64) float64 { return millis(time.Duration(h.ValueAtPercentile(p)) * reporter.Unit) }
	return Latency{Count: count, Late: late, P50: percentile(50), P95: percentile(95), P99: percentile(99), Burn: burn(late, count, objective), Histogram: h}
}

// merge adds a series of one entry to the sum of the other entries. Targets are those of
// the first entry that has any: entries differ only while a contract change propagates.
func merge(merged map[reporter.Key]*messenger.BurnSeries, s *messenger.BurnSeries) {
	key := reporter.Key{Workspace: s.GetKey().GetWorkspace(), Model: s.GetKey().GetModel()}
	sum, ok := merged[key]
	if !ok {
		merged[key] = s
		return
	}
	if sum.GetObjective() == 0 {
		sum.Objective = s.GetObjective()
		sum.FirstTokenTarget = s.GetFirstTokenTarget()
		sum.BetweenTokensTarget = s.GetBetweenTokensTarget()
	}
	for i, w := range s.GetWindows() {
		if i < len(sum.GetWindows()) && sum.GetWindows()[i].GetLengthNanos() == w.GetLengthNanos() {
			reporter.AddSlot(sum.GetWindows()[i].GetSum(), w.GetSum())
		}
	}
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func stateRank(state string) int {
	return slices.Index([]string{StateOK, StateWatch, StateAct}, state)
}

// state classifies a series by its windows, shortest first. A burn is urgent if a
// long window shows that it is significant and a shorter one that it is ongoing.
func state(windows []Window) string {
	const (
		fiveMinutes = iota
		oneHour
		sixHours
		threeDays
		windowCount
	)
	switch {
	case len(windows) < windowCount:
		return StateOK
	case windows[oneHour].urgent(fastBurn) && windows[fiveMinutes].urgent(fastBurn):
		return StateAct
	case windows[sixHours].urgent(slowBurn) && windows[oneHour].urgent(slowBurn):
		return StateAct
	case windows[threeDays].Burn() >= 1 || windows[sixHours].Burn() >= 1:
		return StateWatch
	}
	return StateOK
}
