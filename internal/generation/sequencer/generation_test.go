package sequencer

import (
	"errors"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const propertySeed = 20261204

func TestAccept(t *testing.T) {
	g := Generation{ID: "g", Epoch: 2, Next: 5}
	tests := []struct {
		name  string
		epoch uint32
		first uint64
		n     int
		next  uint64
		skip  int
		gap   bool
	}{
		{name: "next index", epoch: 2, first: 5, n: 3, next: 8},
		{name: "older epoch", epoch: 1, first: 5, n: 3, next: 5, skip: 3},
		{name: "newer epoch", epoch: 3, first: 5, n: 3, next: 5, skip: 3},
		{name: "repeated", epoch: 2, first: 2, n: 3, next: 5, skip: 3},
		{name: "overlapping", epoch: 2, first: 3, n: 4, next: 7, skip: 2},
		{name: "gap", epoch: 2, first: 6, n: 1, next: 5, skip: 1, gap: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			after, skip, err := g.Accept(tt.epoch, tt.first, tt.n)
			var gap *GapError
			if errors.As(err, &gap) != tt.gap {
				t.Errorf("error %v", err)
			}
			if after.Next != tt.next || skip != tt.skip {
				t.Errorf("next %d, skip %d; want %d, %d", after.Next, skip, tt.next, tt.skip)
			}
		})
	}
}

// TestEachTokenOnce delivers random batches of the first two attempts in random order,
// starts further attempts in between, and checks that the accepted indexes are 0, 1, 2, ...
// without a gap or a repeat.
func TestEachTokenOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 500
	properties := gopter.NewProperties(params)
	properties.Property("tokens are accepted once and in order", prop.ForAll(
		func(steps []int) bool {
			g := Generation{ID: "g", Epoch: 1}
			var accepted []uint64
			for _, step := range steps {
				epoch := uint32(step%3) + 1
				first := uint64(step / 3 % 12)
				n := step / 36 % 5
				if epoch == 3 {
					g = g.WithNextEpoch()
					continue
				}
				after, skip, _ := g.Accept(epoch, first, n)
				for i := skip; i < n; i++ {
					accepted = append(accepted, first+uint64(i))
				}
				g = after
			}
			for i, index := range accepted {
				if index != uint64(i) {
					return false
				}
			}
			return g.Next == uint64(len(accepted))
		},
		gen.SliceOf(gen.IntRange(0, 3*12*5-1)),
	))
	properties.TestingRun(t)
}

func TestCursor(t *testing.T) {
	want := Cursor{Generation: "g-1f", Server: "kora-runner-3", Incarnation: 17, Epoch: 2, Index: 153}
	got, err := ParseCursor(want.String())
	if err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, bad := range []string{"", "g", "g@s", "g@s/1/2", "g@s/1:3", "@s/1/2:3", "g@/1/2:3", "g@s/x/2:3", "g@s/1/2:-2", "g@s/1/99999999999:1"} {
		if _, err := ParseCursor(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func FuzzParseCursor(f *testing.F) {
	f.Add("g-1f@kora-runner-3/17/2:153")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseCursor(text)
		if err != nil {
			return
		}
		again, err := ParseCursor(c.String())
		if err != nil || again != c {
			t.Errorf("%q: %+v, then %+v, %v", text, c, again, err)
		}
	})
}
