package estimator

import (
	"container/list"
	"math"
)

const (
	// window is how many observations of a bucket count at the most: older
	// ones fade, so that a curve follows a change.
	window = 160
	// parentWeight is how many observations the parent's hazard is worth.
	parentWeight = 6
	// staleAfter is how many observations a parent may take before a curve
	// derived from it is computed again.
	staleAfter = 32

	// Bounds of the tail rule: the chance that a generation ends within one
	// bucket, for tails that fall with the power -2 and -0.5 of the length.
	steepestHazard = 0.2929
	flattestHazard = 0.0830
	// priorHazard is a bucket's hazard before anything was seen: the chance of
	// going on halves with each octave.
	priorHazard = 0.1591
	// priorStart is the hazard of the buckets of single lengths.
	priorStart = 0.02
)

// Curve is the learned distribution of output lengths of one workspace and
// kind. It holds, for each bucket, how many generations came into it and how
// many of them ended there: a generation that is still running, or was
// cancelled, tells as much as it has shown, and no more.
type Curve struct {
	parent *Curve
	key    Key
	used   *list.Element
	// changes counts the observations.
	changes uint64

	// entered and ended fade with each observation: ended <= entered <= window.
	entered [buckets]float32
	ended   [buckets]float32

	// logAlive[b] is the logarithm of the chance to reach bucket b. It is
	// computed from the state named by ownChanges and parentChanges.
	logAlive      [buckets + 1]float64
	ownChanges    uint64
	parentChanges uint64
	computed      bool
}

// Chance returns the probability that a generation that has n tokens reaches
// n+more tokens.
func (c *Curve) Chance(n, more int) float64 {
	if more <= 0 {
		return 1
	}
	c.refresh()
	return math.Exp(c.logAt(n+more) - c.logAt(n))
}

// Chances fills dst with the probabilities that a generation that has n tokens
// reaches n+more[i] tokens.
func (c *Curve) Chances(n int, more []int, dst []float64) {
	c.refresh()
	here := c.logAt(n)
	for i, m := range more {
		dst[i] = math.Exp(min(c.logAt(n+m)-here, 0))
	}
}

// Finished records the length of a generation that came to its end.
func (c *Curve) Finished(length int) {
	b := bucketOf(length)
	for x := c; x != nil; x = x.parent {
		x.observe(b, 1)
	}
}

// Outgrew records that a running generation has left a bucket behind; see
// Tracker.
func (c *Curve) outgrew(b int) {
	for x := c; x != nil; x = x.parent {
		x.observe(b, 0)
	}
}

// Quantile returns how many more tokens a generation that has n tokens makes at
// most, with probability q.
func (c *Curve) Quantile(n int, q float64) int {
	c.refresh()
	target := c.logAt(n) + math.Log1p(-q)
	low, high := bucketOf(n), buckets
	for low < high {
		mid := (low + high) / 2
		if c.logAlive[mid+1] > target {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low >= buckets {
		return maxLength - n
	}
	from, to := lowerBound(low), lowerBound(low+1)
	fall := c.logAlive[low] - c.logAlive[low+1]
	part := 1.0
	if fall > 0 {
		part = (c.logAlive[low] - target) / fall
	}
	length := float64(from) + part*float64(to-from)
	return max(int(math.Ceil(length))-n, 0)
}

// compute derives the curve from its counts and its parent.
func (c *Curve) compute() {
	sum := 0.0
	for b := range buckets {
		sum += math.Log1p(-c.hazard(b))
		c.logAlive[b+1] = sum
	}
	c.ownChanges = c.changes
	if c.parent != nil {
		c.parentChanges = c.parent.changes
	}
	c.computed = true
}

// hazard returns the chance that a generation that comes into a bucket ends in
// it. Where the curve has seen little, the parent's hazard speaks; a curve
// without parent goes on as in the octave before, within bounds. So a
// generation that outgrew all samples is held neither for endless nor for
// nearly done.
func (c *Curve) hazard(b int) float64 {
	var fallback float64
	switch {
	case c.parent != nil:
		fallback = -math.Expm1(c.parent.logAlive[b+1] - c.parent.logAlive[b])
	case b < linear:
		fallback = priorStart
	case b < linear+perOctave:
		fallback = priorHazard
	default:
		octave := c.logAlive[b] - c.logAlive[b-perOctave]
		fallback = min(max(-math.Expm1(octave/perOctave), flattestHazard), steepestHazard)
	}
	return min((float64(c.ended[b])+parentWeight*fallback)/(float64(c.entered[b])+parentWeight), 0.999)
}

// logAt returns the logarithm of the chance to reach a length.
func (c *Curve) logAt(n int) float64 {
	if n >= maxLength {
		return c.logAlive[buckets]
	}
	b := bucketOf(n)
	from, to := lowerBound(b), lowerBound(b+1)
	part := float64(n-from) / float64(to-from)
	return c.logAlive[b] + part*(c.logAlive[b+1]-c.logAlive[b])
}

func (c *Curve) observe(b int, ended float32) {
	const keep = 1 - 1.0/window
	c.entered[b] = c.entered[b]*keep + 1
	c.ended[b] = c.ended[b]*keep + ended
	c.changes++
}

// refresh computes the curve again if it or its parent learned enough since.
func (c *Curve) refresh() {
	if c.parent != nil {
		c.parent.refresh()
		if c.parent.changes-c.parentChanges >= staleAfter {
			c.computed = false
		}
	}
	if !c.computed || c.changes-c.ownChanges >= 8 {
		c.compute()
	}
}
