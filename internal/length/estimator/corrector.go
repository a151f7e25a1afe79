package estimator

import "math"

type (
	// Corrector learns how long outputs are for what their clients estimated. Estimates
	// are right at the median but often far off, so a high one is mostly too high and a
	// low one too low: it fits the logarithm of the length to that of the estimate, for
	// each kind of request. Its zero value is ready for use; it isn't safe for concurrent
	// use.
	Corrector struct {
		kinds map[string]*fit
	}

	// Spread is the distribution of one output's length: the logarithm of the length is
	// taken to be normal, and atMost bounds the length. It is a value.
	Spread struct {
		mean, deviation float64
		// atMost is the greatest length; 0 sets no bound.
		atMost int
	}

	// fit holds the faded sums over pairs of x, the logarithm of an estimate, and y, that
	// of the length that came.
	fit struct {
		n, x, y, xx, xy float64
		// squares is the faded sum of the squared errors of what was expected, judged that
		// of how many.
		squares, judged float64
	}
)

const (
	// priorPairs is how many pairs the prior is worth: before anything is known, lengths
	// are as estimated but for priorDeviation, and so are the estimates themselves spread.
	priorPairs     = 6
	priorDeviation = 1.0
	// minDeviation keeps a kind whose lengths hardly differ from being held for certain.
	minDeviation = 0.25
	// farTail is the number of deviations beyond which the tail is taken to fall as it
	// does there: the chances are too small to divide by.
	farTail = 5
)

// Expect returns the distribution of the length of an output that its client estimated at
// hint tokens. atMost bounds it; 0 sets no bound.
func (c *Corrector) Expect(kind string, hint, atMost int) Spread {
	f := c.kinds[kind]
	if f == nil {
		f = &fit{}
	}
	return Spread{mean: f.expect(logLength(hint)), deviation: f.deviation(), atMost: atMost}
}

// Finished records that an output which its client estimated at hint tokens came to its
// end with length tokens.
func (c *Corrector) Finished(kind string, hint, length int) {
	f := c.kinds[kind]
	if f == nil {
		if c.kinds == nil {
			c.kinds = make(map[string]*fit)
		}
		if len(c.kinds) >= maxKinds {
			return
		}
		f = &fit{}
		c.kinds[kind] = f
	}
	f.learn(logLength(hint), logLength(length))
}

// Chances fills dst with the probabilities that an output that has n tokens reaches
// n+more[i] tokens.
func (s Spread) Chances(n int, more []int, dst []float64) {
	here := min(s.deviations(n), farTail)
	alive := upperTail(here)
	for i, m := range more {
		if s.atMost > 0 && n+m > s.atMost {
			dst[i] = 0
			continue
		}
		there := here + (logLength(n+m)-logLength(n))/s.deviation
		dst[i] = min(upperTail(there)/alive, 1)
	}
}

// Remaining returns how many more tokens an output that has n is expected to make.
func (s Spread) Remaining(n int) int {
	var alive [len(steps)]float64
	s.Chances(n, steps[:], alive[:])
	total, last, chance := 0.0, 0, 1.0
	for i, step := range steps {
		if s.atMost > 0 && n+step > s.atMost {
			total += chance * float64(max(s.atMost-n-last, 0))
			break
		}
		total += (chance + alive[i]) / 2 * float64(step-last)
		last, chance = step, alive[i]
	}
	return int(total)
}

// steps are the points between which the remaining length is summed up, in tokens.
var steps = [...]int{4, 16, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 8192, 16384}

// deviations returns how many deviations a length lies above the mean.
func (s Spread) deviations(n int) float64 {
	return (logLength(n) - s.mean) / s.deviation
}

// expect returns the mean of y where the estimate is x.
func (f *fit) expect(x float64) float64 {
	if f.n == 0 {
		return x
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	spread := priorPairs * priorDeviation * priorDeviation
	slope := (f.xy - f.n*meanX*meanY + spread) / (f.xx - f.n*meanX*meanX + spread)
	off := (f.y - f.x) / (f.n + priorPairs)
	return meanX + off + slope*(x-meanX)
}

// deviation returns the typical error of expect.
func (f *fit) deviation() float64 {
	square := (f.squares + priorPairs*priorDeviation*priorDeviation) / (f.judged + priorPairs)
	return max(math.Sqrt(square), minDeviation)
}

// learn takes in a pair.
func (f *fit) learn(x, y float64) {
	const keep = 1 - 1.0/window
	missed := y - f.expect(x)
	f.squares = f.squares*keep + missed*missed
	f.judged = f.judged*keep + 1
	f.n = f.n*keep + 1
	f.x = f.x*keep + x
	f.y = f.y*keep + y
	f.xx = f.xx*keep + x*x
	f.xy = f.xy*keep + x*y
}

// logLength returns the logarithm of a length; one of no tokens counts as a half.
func logLength(n int) float64 {
	return math.Log(max(float64(n), 0.5))
}

// upperTail returns the chance to lie more than so many deviations above the mean.
func upperTail(deviations float64) float64 {
	return math.Erfc(deviations/math.Sqrt2) / 2
}
