package estimator

import (
	"container/list"
	"math"
)

const (
	// window is the number of observations that a bucket's counts are limited to: older
	// ones decay, so that a curve follows a change.
	window = 160
	// parentWeight is the weight of the parent's hazard, in observations. The hazard of a
	// bucket is the probability that a generation that enters it ends in it.
	parentWeight = 6
	// staleAfter is the number of observations of a parent after which a curve derived
	// from it is computed again.
	staleAfter = 32

	// Bounds of the hazard in the tail, for tails that fall with the power -2 and -0.5 of
	// the length.
	steepestHazard = 0.2929
	flattestHazard = 0.0830
	// priorHazard is a bucket's hazard without observations: the probability of
	// reaching a length halves with each octave.
	priorHazard = 0.1591
	// priorLinearHazard is the hazard of the buckets of single lengths.
	priorLinearHazard = 0.02
)

// Curve is the learned survival curve of the output lengths of one workspace and
// kind. It counts, for each bucket, the generations that entered it and those that
// ended in it. A generation that is still running or was cancelled is a censored
// observation: it counts only in the buckets that it has outgrown. A Curve isn't safe
// for concurrent use; its methods that return predictions may recompute it and its parent.
type Curve struct {
	// parent is the curve of the kind or of all requests; nil for that of all requests.
	parent *Curve
	key    Key
	// recent is the curve's element in Estimator.recent; nil for the curves of kinds and
	// of all requests.
	recent *list.Element
	// observations counts the observations in all buckets, without decay.
	observations uint64

	// entered and ended decay with each observation: ended <= entered <= window.
	entered [bucketCount]float32
	ended   [bucketCount]float32

	// logSurvival[b] is the logarithm of the probability of reaching bucket b. It was
	// computed when the curve had ownObservations and its parent parentObservations.
	logSurvival        [bucketCount + 1]float64
	ownObservations    uint64
	parentObservations uint64
	// computed is false until logSurvival is computed and once it is stale.
	computed bool
}

// Chance returns the probability that a generation of n tokens reaches n+more tokens.
func (c *Curve) Chance(n, more int) float64 {
	if more <= 0 {
		return 1
	}
	c.refresh()
	return math.Exp(c.logSurvivalAt(n+more) - c.logSurvivalAt(n))
}

// Chances fills dst, which is as long as more, with the probabilities that a generation
// of n tokens reaches n+more[i] tokens.
func (c *Curve) Chances(n int, more []int, dst []float64) {
	c.refresh()
	here := c.logSurvivalAt(n)
	for i, ahead := range more {
		dst[i] = math.Exp(min(c.logSurvivalAt(n+ahead)-here, 0))
	}
}

// Finished records that a complete generation ended in the bucket of its length. The
// buckets below must have been recorded before; Tracker.Finish does both.
func (c *Curve) Finished(length int) {
	b := bucketOf(length)
	for x := c; x != nil; x = x.parent {
		x.observe(b, 1)
	}
}

// outgrew records that a running generation has left a bucket behind; see Tracker.
func (c *Curve) outgrew(b int) {
	for x := c; x != nil; x = x.parent {
		x.observe(b, 0)
	}
}

// Quantile returns the number of further tokens that a generation of n tokens does not
// exceed with probability q. It is at most maxLength-n, and 0 from maxLength on.
func (c *Curve) Quantile(n int, q float64) int {
	c.refresh()
	target := c.logSurvivalAt(n) + math.Log1p(-q)
	low, high := bucketOf(n), bucketCount
	for low < high {
		mid := (low + high) / 2
		if c.logSurvival[mid+1] > target {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low >= bucketCount {
		return max(maxLength-n, 0)
	}
	from, to := lowerBound(low), lowerBound(low+1)
	fall := c.logSurvival[low] - c.logSurvival[low+1]
	part := 1.0
	if fall > 0 {
		part = (c.logSurvival[low] - target) / fall
	}
	length := float64(from) + part*float64(to-from)
	return max(int(math.Ceil(length))-n, 0)
}

// compute derives logSurvival from the curve's counts and its parent.
func (c *Curve) compute() {
	sum := 0.0
	for b := range bucketCount {
		sum += math.Log1p(-c.hazard(b))
		c.logSurvival[b+1] = sum
	}
	c.ownObservations = c.observations
	if c.parent != nil {
		c.parentObservations = c.parent.observations
	}
	c.computed = true
}

// hazard returns the probability that a generation that enters a bucket ends in it.
// With few observations the parent's hazard prevails. A curve without parent takes
// the mean hazard of the octave before, within bounds, so that a generation that
// outgrew all samples is predicted neither to run without end nor to end soon.
func (c *Curve) hazard(b int) float64 {
	var fallback float64
	switch {
	case c.parent != nil:
		fallback = -math.Expm1(c.parent.logSurvival[b+1] - c.parent.logSurvival[b])
	case b < linearBuckets:
		fallback = priorLinearHazard
	case b < linearBuckets+bucketsPerOctave:
		fallback = priorHazard
	default:
		octave := c.logSurvival[b] - c.logSurvival[b-bucketsPerOctave]
		fallback = min(max(-math.Expm1(octave/bucketsPerOctave), flattestHazard), steepestHazard)
	}
	return min((float64(c.ended[b])+parentWeight*fallback)/(float64(c.entered[b])+parentWeight), 0.999)
}

// logSurvivalAt returns the logarithm of the probability of reaching a length, by linear
// interpolation within a bucket. From maxLength on it is constant.
func (c *Curve) logSurvivalAt(n int) float64 {
	if n >= maxLength {
		return c.logSurvival[bucketCount]
	}
	b := bucketOf(n)
	from, to := lowerBound(b), lowerBound(b+1)
	part := float64(n-from) / float64(to-from)
	return c.logSurvival[b] + part*(c.logSurvival[b+1]-c.logSurvival[b])
}

// observe counts a generation that entered a bucket; ended is 1 if it ended in it, else 0.
func (c *Curve) observe(b int, ended float32) {
	const keep = 1 - 1.0/window
	c.entered[b] = c.entered[b]*keep + 1
	c.ended[b] = c.ended[b]*keep + ended
	c.observations++
}

// refresh computes the curve again if it has 8 new observations or its parent staleAfter.
func (c *Curve) refresh() {
	if c.parent != nil {
		c.parent.refresh()
		if c.parent.observations-c.parentObservations >= staleAfter {
			c.computed = false
		}
	}
	if !c.computed || c.observations-c.ownObservations >= 8 {
		c.compute()
	}
}
