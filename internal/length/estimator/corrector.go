package estimator

import "math"

type (
	// Corrector learns the distribution of output lengths given the clients' estimates.
	// Estimates are right at the median but often far off, so a high one is mostly too high
	// and a low one too low. For each kind of request it fits the logarithm of the length to
	// the logarithm of the estimate by linear regression. Its zero value is ready for use; it
	// isn't safe for concurrent use.
	Corrector struct {
		kinds map[string]*fit
	}

	// Distribution is the log-normal distribution of one output's length, bounded by limit.
	// It doesn't follow what the Corrector learns later.
	Distribution struct {
		// mean and deviation are those of the logarithm of the length.
		mean, deviation float64
		// limit is the maximum length in tokens; 0 is no limit.
		limit int
	}

	// fit holds exponentially decayed sums over pairs of x, the logarithm of an estimate, and
	// y, the logarithm of the actual length; n is the decayed number of pairs.
	fit struct {
		n, x, y, xx, xy float64
		// squaredErrors is the decayed sum of the squared errors of predictions, predictions
		// their decayed number.
		squaredErrors, predictions float64
	}
)

const (
	// priorPairs is the weight of the prior, in pairs. The prior is that the logarithm of the
	// length equals that of the estimate with a standard deviation of priorDeviation, and that
	// the logarithms of the estimates have the same deviation.
	priorPairs     = 6
	priorDeviation = 1.0
	// minDeviation keeps kinds with nearly equal lengths from being predicted as certain.
	minDeviation = 0.25
	// farTail is the number of deviations beyond which the tail is assumed to fall as it does
	// at farTail: the probabilities beyond are too small to divide by.
	farTail = 5
)

// Expect returns the distribution of the length of an output that the client estimated at hint
// tokens and that may have at most limit tokens; a limit of 0 is none.
func (c *Corrector) Expect(kind string, hint, limit int) Distribution {
	f := c.kinds[kind]
	if f == nil {
		f = &fit{}
	}
	return Distribution{mean: f.predict(logLength(hint)), deviation: f.deviation(), limit: limit}
}

// Finished learns from a complete output of length tokens that the client estimated at hint
// tokens. Kinds after the first maxKinds are ignored.
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
	f.update(logLength(hint), logLength(length))
}

// Chances fills dst, which is as long as more, with the probabilities that an output of n
// tokens reaches n+more[i] tokens. They are 0 beyond the limit.
func (d Distribution) Chances(n int, more []int, dst []float64) {
	here := min(d.deviations(n), farTail)
	survival := upperTail(here)
	for i, ahead := range more {
		if d.limit > 0 && n+ahead > d.limit {
			dst[i] = 0
			continue
		}
		there := here + (logLength(n+ahead)-logLength(n))/d.deviation
		dst[i] = min(upperTail(there)/survival, 1)
	}
}

// Remaining returns the expected number of further tokens of an output that has n tokens.
// Tokens beyond the last of steps aren't counted.
func (d Distribution) Remaining(n int) int {
	var chances [len(steps)]float64
	d.Chances(n, steps[:], chances[:])
	total, last, chance := 0.0, 0, 1.0
	for i, step := range steps {
		if d.limit > 0 && n+step > d.limit {
			total += chance * float64(max(d.limit-n-last, 0))
			break
		}
		total += (chance + chances[i]) / 2 * float64(step-last)
		last, chance = step, chances[i]
	}
	return int(total)
}

// steps are the points of the trapezoidal rule that integrates the chances to the remaining
// length, in further tokens.
var steps = [...]int{4, 16, 32, 64, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 8192, 16384}

// deviations returns how many standard deviations the logarithm of a length is above the mean.
func (d Distribution) deviations(n int) float64 {
	return (logLength(n) - d.mean) / d.deviation
}

// predict returns the expected y for the logarithm x of an estimate; x itself before the
// first pair.
func (f *fit) predict(x float64) float64 {
	if f.n == 0 {
		return x
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	priorSquares := priorPairs * priorDeviation * priorDeviation
	slope := (f.xy - f.n*meanX*meanY + priorSquares) / (f.xx - f.n*meanX*meanX + priorSquares)
	bias := (f.y - f.x) / (f.n + priorPairs)
	return meanX + bias + slope*(x-meanX)
}

// deviation returns the standard deviation of the errors of predict.
func (f *fit) deviation() float64 {
	variance := (f.squaredErrors + priorPairs*priorDeviation*priorDeviation) / (f.predictions + priorPairs)
	return max(math.Sqrt(variance), minDeviation)
}

// update adds a pair and lets the older ones decay.
func (f *fit) update(x, y float64) {
	const keep = 1 - 1.0/window
	residual := y - f.predict(x)
	f.squaredErrors = f.squaredErrors*keep + residual*residual
	f.predictions = f.predictions*keep + 1
	f.n = f.n*keep + 1
	f.x = f.x*keep + x
	f.y = f.y*keep + y
	f.xx = f.xx*keep + x*x
	f.xy = f.xy*keep + x*y
}

// logLength returns the logarithm of a length; a length of 0 counts as 0.5.
func logLength(n int) float64 {
	return math.Log(max(float64(n), 0.5))
}

// upperTail returns the probability that a normally distributed value is more than a number
// of standard deviations above the mean.
func upperTail(deviations float64) float64 {
	return math.Erfc(deviations/math.Sqrt2) / 2
}
