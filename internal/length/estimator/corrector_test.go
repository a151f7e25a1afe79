package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// teach has a corrector learn outputs whose lengths spread by 0.8 in the logarithm, with
// estimates that are off by 1.2.
func teach(c *Corrector, n int) {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		length := 500 * math.Exp(0.8*r.NormFloat64())
		hint := length * math.Exp(1.2*r.NormFloat64())
		c.Finished("report", int(hint), int(length))
	}
}

func TestEstimatesAreCorrectedTowardsWhatCame(t *testing.T) {
	c := &Corrector{}
	if got := c.Expect("report", 2000, 0).Remaining(0); got < 2000 {
		t.Errorf("expects %d of an estimate of 2000 before anything is known", got)
	}
	teach(c, 400)
	// The mean length for an estimate is 500^0.69 * estimate^0.31, and half of the spread of 0.67 more.
	tests := []struct {
		hint, least, most int
	}{
		{50, 230, 400},
		{500, 480, 800},
		{5000, 950, 1700},
	}
	for _, tt := range tests {
		if got := c.Expect("report", tt.hint, 0).Remaining(0); got < tt.least || got > tt.most {
			t.Errorf("expects %d of an estimate of %d, want %d to %d", got, tt.hint, tt.least, tt.most)
		}
	}
}

func TestBoundOfTheOutputBoundsWhatIsExpected(t *testing.T) {
	c := &Corrector{}
	teach(c, 400)
	s := c.Expect("report", 5000, 600)
	if got := s.Remaining(0); got > 600 {
		t.Errorf("expects %d of 600 at most", got)
	}
	if got := s.Remaining(590); got > 10 {
		t.Errorf("expects %d more of 10 at most", got)
	}
	alive := []float64{1, 1}
	s.Chances(500, []int{50, 200}, alive)
	if alive[0] <= 0 || alive[1] != 0 {
		t.Errorf("chances %v, want some and none beyond the bound", alive)
	}
}

func TestChancesFallWithTheLength(t *testing.T) {
	c := &Corrector{}
	teach(c, 400)
	properties := gopter.NewProperties(nil)
	properties.Property("chances lie in 0 to 1 and fall", prop.ForAll(func(hint, made int) bool {
		more := []int{1, 10, 100, 1000, 10_000}
		alive := make([]float64, len(more))
		c.Expect("report", hint, 0).Chances(made, more, alive)
		last := 1.0
		for _, p := range alive {
			if math.IsNaN(p) || p < 0 || p > last {
				return false
			}
			last = p
		}
		return true
	}, gen.IntRange(0, 100_000), gen.IntRange(0, 100_000)))
	properties.TestingRun(t)
}
