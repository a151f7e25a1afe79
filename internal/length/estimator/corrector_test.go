package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// teach adds outputs with log-normal lengths of deviation 0.8 and estimates whose logarithm
// is off by a deviation of 1.2.
func teach(c *Corrector, n int) {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		length := 500 * math.Exp(0.8*r.NormFloat64())
		hint := length * math.Exp(1.2*r.NormFloat64())
		c.Finished("report", int(hint), int(length))
	}
}

func TestEstimatesAreCorrected(t *testing.T) {
	c := &Corrector{}
	if got := c.Expect("report", 2000, 0).Remaining(0); got < 2000 {
		t.Errorf("expected length is %d for an estimate of 2000 without observations", got)
	}
	teach(c, 400)
	// The mean length for an estimate is 500^0.69 * estimate^0.31, times a factor for half of the
	// spread of 0.67.
	tests := []struct {
		hint, least, most int
	}{
		{50, 230, 400},
		{500, 480, 800},
		{5000, 950, 1700},
	}
	for _, tt := range tests {
		if got := c.Expect("report", tt.hint, 0).Remaining(0); got < tt.least || got > tt.most {
			t.Errorf("expected length is %d for an estimate of %d, want %d to %d", got, tt.hint, tt.least, tt.most)
		}
	}
}

func TestLimitBoundsTheExpectedLength(t *testing.T) {
	c := &Corrector{}
	teach(c, 400)
	s := c.Expect("report", 5000, 600)
	if got := s.Remaining(0); got > 600 {
		t.Errorf("expected length is %d with a limit of 600", got)
	}
	if got := s.Remaining(590); got > 10 {
		t.Errorf("expected remaining length is %d with 10 tokens left", got)
	}
	chances := []float64{1, 1}
	s.Chances(500, []int{50, 200}, chances)
	if chances[0] <= 0 || chances[1] != 0 {
		t.Errorf("chances %v, want one above 0 and 0 beyond the limit", chances)
	}
}

func TestChancesFallWithTheLength(t *testing.T) {
	c := &Corrector{}
	teach(c, 400)
	properties := gopter.NewProperties(nil)
	properties.Property("chances lie in 0 to 1 and fall", prop.ForAll(func(hint, made int) bool {
		more := []int{1, 10, 100, 1000, 10_000}
		chances := make([]float64, len(more))
		c.Expect("report", hint, 0).Chances(made, more, chances)
		last := 1.0
		for _, p := range chances {
			if math.IsNaN(p) || p < 0 || p > last {
				return false
			}
			last = p
		}
		return true
	}, gen.IntRange(0, 100_000), gen.IntRange(0, 100_000)))
	properties.TestingRun(t)
}
