package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func learn(e *Estimator, key Key, n int, draw func() int) {
	for range n {
		t := e.Track(key, 0)
		t.Finish(draw())
	}
}

func logNormal(r *rand.Rand, median, spread float64) func() int {
	return func() int { return int(median * math.Exp(spread*r.NormFloat64())) }
}

func pareto(r *rand.Rand, least float64) func() int {
	return func() int { return int(least / (1 - r.Float64())) }
}

func TestBuckets(t *testing.T) {
	for b := range bucketCount {
		if got := bucketOf(lowerBound(b)); got != b {
			t.Errorf("bucket %d starts at %d, which is in bucket %d", b, lowerBound(b), got)
		}
		if got := bucketOf(lowerBound(b+1) - 1); got != b {
			t.Errorf("bucket %d ends at %d, which is in bucket %d", b, lowerBound(b+1)-1, got)
		}
	}
	if got := bucketOf(maxLength * 3); got != bucketCount-1 {
		t.Errorf("bucket of a huge length is %d", got)
	}
}

func TestCurveIsADistribution(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2)
	params.MinSuccessfulTests = 200
	ps := gopter.NewProperties(params)
	ps.Property("chances fall with growth, quantiles rise and invert chances", prop.ForAll(
		func(seed uint64, samples, n int) bool {
			r := rand.New(rand.NewPCG(seed, 1))
			e := New(10)
			key := Key{"w", "k"}
			learn(e, key, samples, logNormal(r, 100, 1.5))
			c := e.Curve(key)
			last := 1.0
			for more := 0; more < 3000; more += 37 {
				p := c.Chance(n, more)
				if p < 0 || p > last+1e-9 {
					return false
				}
				last = p
			}
			least := 0
			for q := 0.05; q < 0.99; q += 0.05 {
				at := c.Quantile(n, q)
				if at < least || (n+at < maxLength && c.Chance(n, at) > 1-q+1e-6) {
					return false
				}
				least = at
			}
			return true
		}, gen.UInt64(), gen.IntRange(0, 400), gen.IntRange(0, 40_000)))
	ps.TestingRun(t)
}

func TestCurveCalibration(t *testing.T) {
	tests := []struct {
		name string
		draw func(*rand.Rand) func() int
	}{
		{"log-normal", func(r *rand.Rand) func() int { return logNormal(r, 300, 1) }},
		{"heavy tail", func(r *rand.Rand) func() int { return pareto(r, 100) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New(10)
			key := Key{"w", "k"}
			draw := tt.draw(rand.New(rand.NewPCG(3, 4)))
			learn(e, key, 2000, draw)
			c := e.Curve(key)
			for _, n := range []int{0, 200, 500} {
				at := c.Quantile(n, 0.9)
				reached, over := 0, 0
				for range 100_000 {
					length := draw()
					if length >= n {
						reached++
						if length > n+at {
							over++
						}
					}
				}
				if share := float64(over) / float64(reached); share < 0.03 || share > 0.2 {
					t.Errorf("at %d tokens: %.3f exceed the 0.9 quantile", n, share)
				}
			}
		})
	}
}

func TestCurveBeyondSamples(t *testing.T) {
	e := New(10)
	key := Key{"w", "k"}
	learn(e, key, 500, func() int { return 50 })
	c := e.Curve(key)
	// No sample is over 50. A generation that is longer is predicted neither to run without
	// end nor to end soon: its remaining length is of the order of its length.
	for _, n := range []int{100, 1000, 10_000} {
		if half := c.Quantile(n, 0.5); half < n/5 || half > 4*n {
			t.Errorf("at %d tokens the median remaining length is %d", n, half)
		}
	}
}

func TestCurveFallsBack(t *testing.T) {
	e := New(100)
	r := rand.New(rand.NewPCG(5, 6))
	for i := range 20 {
		learn(e, Key{fmt.Sprint("w", i), "report"}, 50, logNormal(r, 2000, 0.3))
		learn(e, Key{fmt.Sprint("w", i), "question"}, 50, logNormal(r, 30, 0.3))
	}
	if got := e.Curve(Key{"new", "report"}).Quantile(0, 0.5); got < 1000 || got > 3000 {
		t.Errorf("median of a new workspace's report is %d, want about 2000", got)
	}
	if got := e.Curve(Key{"new", "question"}).Quantile(0, 0.5); got < 15 || got > 60 {
		t.Errorf("median of a new workspace's question is %d, want about 30", got)
	}
	if got := e.Curve(Key{"new", "other"}).Quantile(0, 0.9); got < 1000 {
		t.Errorf("quantile of a new kind is %d, want one of all requests", got)
	}
}

func TestCurveFollowsChange(t *testing.T) {
	e := New(10)
	key := Key{"w", "k"}
	r := rand.New(rand.NewPCG(7, 8))
	learn(e, key, 1000, logNormal(r, 50, 0.3))
	learn(e, key, 100, logNormal(r, 1000, 0.3))
	if got := e.Curve(key).Quantile(0, 0.9); got < 700 {
		t.Errorf("0.9 quantile is %d after 100 lengths of about 1000", got)
	}
	learn(e, key, 400, logNormal(r, 50, 0.3))
	if got := e.Curve(key).Quantile(0, 0.5); got > 100 {
		t.Errorf("median is %d after 400 lengths of about 50", got)
	}
}

func TestCurveLearnsFromRunning(t *testing.T) {
	e := New(10)
	key := Key{"w", "k"}
	learn(e, key, 200, func() int { return 50 })
	before := e.Curve(key).Chance(0, 1000)
	for range 50 {
		tr := e.Track(key, 0)
		tr.Grow(1500)
	}
	if after := e.Curve(key).Chance(0, 1000); after < 10*before || after < 0.1 {
		t.Errorf("chance of 1000 tokens went from %.4f to %.4f with 50 running beyond", before, after)
	}
}

func TestEstimatorIsBounded(t *testing.T) {
	e := New(100)
	for i := range 1000 {
		learn(e, Key{fmt.Sprint("w", i), fmt.Sprint("k", i)}, 1, func() int { return 10 })
	}
	if e.Len() != 100 || len(e.kinds) != maxKinds || e.recent.Len() != 100 {
		t.Errorf("%d curves, %d kinds, %d listed", e.Len(), len(e.kinds), e.recent.Len())
	}
	if e.curves[Key{"w999", "k999"}] == nil || e.curves[Key{"w0", "k0"}] != nil {
		t.Error("the least recently used curve was not the one dropped")
	}
}

func BenchmarkChance(b *testing.B) {
	e := New(10)
	key := Key{"w", "k"}
	learn(e, key, 1000, logNormal(rand.New(rand.NewPCG(1, 1)), 300, 1))
	c := e.Curve(key)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Chance(i&1023, 256)
	}
}

func BenchmarkQuantile(b *testing.B) {
	e := New(10)
	key := Key{"w", "k"}
	learn(e, key, 1000, logNormal(rand.New(rand.NewPCG(1, 1)), 300, 1))
	c := e.Curve(key)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Quantile(i&1023, 0.95)
	}
}

func BenchmarkLearn(b *testing.B) {
	e := New(10)
	key := Key{"w", "k"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t := e.Track(key, 0)
		t.Finish(i & 2047)
		t.Curve().Chance(0, 100)
	}
}

func BenchmarkCurves(b *testing.B) {
	for _, workspaces := range []int{490, 1633, 4900} {
		b.Run(fmt.Sprint(workspaces, "x3"), func(b *testing.B) {
			for b.Loop() {
				e := New(DefaultMaxCurves)
				for i := range workspaces {
					for _, kind := range []string{"question", "report", "rota"} {
						e.Curve(Key{fmt.Sprint("workspace-", i), kind})
					}
				}
			}
			b.ReportAllocs()
		})
	}
}

func TestQuantileIsNeverNegative(t *testing.T) {
	c := New(1).Curve(Key{})
	for _, n := range []int{0, maxLength - 1, maxLength, maxLength + 1, 2 * maxLength} {
		if got := c.Quantile(n, 0.99); got < 0 {
			t.Errorf("%d further tokens of an output of %d", got, n)
		}
	}
}
