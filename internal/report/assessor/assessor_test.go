package assessor

import (
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// series returns a series whose windows have the given sums, shortest first.
func series(sums ...*messenger.BurnSlot) *messenger.BurnSeries {
	s := &messenger.BurnSeries{
		Key:              &messenger.BurnKey{Workspace: "w", Model: "m"},
		FirstTokenTarget: int64(550 * time.Millisecond), BetweenTokensTarget: int64(46 * time.Millisecond), Objective: 0.95,
	}
	lengths := []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
	for i, sum := range sums {
		s.Windows = append(s.Windows, &messenger.BurnWindow{LengthNanos: int64(lengths[i]), Sum: sum})
	}
	return s
}

func TestStateAndBudget(t *testing.T) {
	late := func(all, late uint64) *messenger.BurnSlot {
		return &messenger.BurnSlot{Requests: all, FirstTokens: all, FirstTokensLate: late}
	}
	failed := func(all, incomplete uint64) *messenger.BurnSlot {
		return &messenger.BurnSlot{Requests: all, Incomplete: incomplete}
	}
	tests := []struct {
		name   string
		series *messenger.BurnSeries
		state  string
		// budgetLeft is the share of the first-token budget that is left.
		budgetLeft float64
	}{
		{"nothing counted", series(late(0, 0), late(0, 0), late(0, 0), late(0, 0)), StateOK, 1},
		{"within the budget", series(late(100, 4), late(100, 4), late(100, 4), late(1000, 25)), StateOK, 0.5},
		{"fast and ongoing", series(late(100, 80), late(100, 80), late(1000, 80), late(1000, 80)), StateAct, -0.6},
		{"fast but ended", series(late(100, 0), late(100, 80), late(1000, 80), late(10000, 80)), StateWatch, 0.84},
		{"slow and ongoing", series(late(10, 0), late(100, 35), late(100, 35), late(1000, 35)), StateAct, 0.3},
		{"spent over three days", series(late(10, 0), late(10, 0), late(10, 0), late(100, 6)), StateWatch, -0.2},
		{"few events", series(failed(2, 2), failed(2, 2), failed(2, 2), failed(2, 2)), StateWatch, 1},
		{"incomplete requests", series(failed(9, 3), failed(9, 3), failed(9, 3), failed(9, 3)), StateAct, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Assess(time.Unix(0, 0), []*messenger.BurnReply{{Series: []*messenger.BurnSeries{tt.series}}}, nil)
			s := r.Series[0]
			if s.State != tt.state {
				t.Errorf("state %s, want %s", s.State, tt.state)
			}
			if d := s.BudgetLeft.FirstToken - tt.budgetLeft; d > 1e-9 || d < -1e-9 {
				t.Errorf("%g of the budget left, want %g", s.BudgetLeft.FirstToken, tt.budgetLeft)
			}
		})
	}
}
