// Package assessor puts entries' service levels together and judges them
// against the contracts' targets.
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
	// DefaultObjective is the share of tokens in time for a contract that names none.
	DefaultObjective = 0.95
	// WholeObjective is the share of requests that must be answered whole.
	WholeObjective = 0.999
	// fastBurn spends a fifth of the budget of three days in one hour.
	fastBurn = 14.4
	// slowBurn spends half of the budget of three days in six hours.
	slowBurn = 6
	// fewestMissed is how many events must miss their target before a burn makes
	// anyone act: below, a single event of a rarely used series would.
	fewestMissed = 3
)

// States of a series, by how soon someone should look.
const (
	StateOK    = "ok"
	StateWatch = "watch"
	StateAct   = "act"
)

type (
	// Report is the service-level burn of some series over all entries.
	Report struct {
		At time.Time `json:"at"`
		// Entries that answered; Missing are those that did not, whose counts are not in the report.
		Entries []Entry  `json:"entries"`
		Missing []string `json:"missing,omitempty"`
		// Partial tells that only the series that burn fastest are here.
		Partial bool `json:"partial,omitempty"`
		// Series are in the order of urgency, the most urgent first.
		Series []Series `json:"series"`
	}

	// Entry is one process that counted.
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
		// BudgetLeft is over the longest window.
		BudgetLeft Budget `json:"budgetLeft"`
		// Windows are from the shortest to the longest.
		Windows []Window `json:"windows"`
	}

	// Targets are those of the contract; 0 means that there is none. Times are in milliseconds.
	Targets struct {
		FirstTokenMillis    float64 `json:"firstTokenMillis"`
		BetweenTokensMillis float64 `json:"betweenTokensMillis"`
		Objective           float64 `json:"objective"`
	}

	// Budget is the share of the error budget that is left, 1 for all; it is
	// below 0 once more is spent than there was.
	Budget struct {
		FirstToken    float64 `json:"firstToken"`
		BetweenTokens float64 `json:"betweenTokens"`
		Whole         float64 `json:"whole"`
	}

	// Window is what happened in one span of time up to the report.
	Window struct {
		// Seconds is the length of the window.
		Seconds int64 `json:"seconds"`
		// Requests ended, whole or not; refused ones are not among them.
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

	// Latency is a distribution against its target. Times are in milliseconds.
	Latency struct {
		Count uint64  `json:"count"`
		Late  uint64  `json:"late"`
		P50   float64 `json:"p50Millis"`
		P95   float64 `json:"p95Millis"`
		P99   float64 `json:"p99Millis"`
		// Burn is the share of late ones over the share that the objective allows.
		Burn float64 `json:"burn"`
		// Histogram is in units of reporter.Unit.
		Histogram *hdrhistogram.Histogram `json:"-"`
	}
)

// Assess adds up the replies of the entries and judges each series.
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
			cmp.Compare(rank(b.State), rank(a.State)), cmp.Compare(b.worstBurn(), a.worstBurn()),
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
	return report
}

// Length returns the window's length.
func (w Window) Length() time.Duration {
	return time.Duration(w.Seconds) * time.Second
}

// Burn returns the fastest of the window's three burns.
func (w Window) Burn() float64 {
	return max(w.FirstToken.Burn, w.BetweenTokens.Burn, w.WholeBurn)
}

// urgent tells whether enough events miss a target at no less than some burn.
func (w Window) urgent(burn float64) bool {
	lost := w.Incomplete + w.RefusedRoom
	return w.FirstToken.Burn >= burn && w.FirstToken.Late >= fewestMissed ||
		w.BetweenTokens.Burn >= burn && w.BetweenTokens.Late >= fewestMissed ||
		w.WholeBurn >= burn && lost >= fewestMissed
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
	lost := sum.GetIncomplete() + sum.GetRefusedRoom()
	return Window{
		Seconds:       int64(time.Duration(w.GetLengthNanos()) / time.Second),
		Requests:      sum.GetRequests(),
		FirstToken:    latency(reporter.FirstTokens(sum), sum.GetFirstTokens(), sum.GetFirstTokensLate(), objective),
		BetweenTokens: latency(reporter.Gaps(sum), sum.GetGaps(), sum.GetGapsLate(), objective),
		WholeBurn:     burn(lost, sum.GetRequests()+sum.GetRefusedRoom(), WholeObjective),
		Stalls:        sum.GetStalls(),
		StallSeconds:  time.Duration(sum.GetStallNanos()).Seconds(),
		Preemptions:   sum.GetPreemptions(),
		Incomplete:    sum.GetIncomplete(),
		RefusedLimit:  sum.GetRefusedLimit(),
		RefusedRoom:   sum.GetRefusedRoom(),
	}
}

// burn returns how many times faster than allowed the budget is spent.
func burn(bad, all uint64, objective float64) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / (1 - objective)
}

func latency(h *hdrhistogram.Histogram, count, late uint64, objective float64) Latency {
	at := func(p float64) float64 { return millis(time.Duration(h.ValueAtPercentile(p)) * reporter.Unit) }
	return Latency{Count: count, Late: late, P50: at(50), P95: at(95), P99: at(99), Burn: burn(late, count, objective), Histogram: h}
}

// merge adds a series of one entry to those of the others. Targets are taken from
// any entry that has some: entries differ only while a change is on its way.
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

func rank(state string) int {
	return slices.Index([]string{StateOK, StateWatch, StateAct}, state)
}

// state judges windows from the shortest to the longest: a burn counts once a
// long window shows that it matters and a shorter one that it still goes on.
func state(w []Window) string {
	const (
		minutes = iota
		hour
		hours
		days
		known
	)
	switch {
	case len(w) < known:
		return StateOK
	case w[hour].urgent(fastBurn) && w[minutes].urgent(fastBurn):
		return StateAct
	case w[hours].urgent(slowBurn) && w[hour].urgent(slowBurn):
		return StateAct
	case w[days].Burn() >= 1 || w[hours].Burn() >= 1:
		return StateWatch
	}
	return StateOK
}
