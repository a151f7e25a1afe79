package pacer

import "slices"

// quantile follows the value below which a share of all samples is. Each sample moves it by a step that is
// bounded, so that none of them counts for much.
type quantile struct {
	// share is the share of the samples below value.
	share float64
	value float64
	// samples counts the samples, up to settledSamples.
	samples int
	// first holds the first samples in order.
	first [minSamples]float64
}

const (
	// minSamples is the number of samples from which on a quantile is known.
	minSamples = 12
	// settledSamples is the number of samples from which on a sample above a high quantile tells something.
	settledSamples = 100
	// quantileStep is the step of a sample as a share of the value.
	quantileStep = 0.04
)

// add adds a sample, which is above 0.
func (q *quantile) add(sample float64) {
	if q.samples < minSamples {
		q.addFirst(sample)
		return
	}
	if q.samples < settledSamples {
		q.samples++
	}
	step := quantileStep * q.value
	if sample > q.value {
		q.value = min(q.value+step*q.share, sample)
		return
	}
	q.value = max(q.value-step*(1-q.share), sample)
}

// addFirst adds one of the first samples. The value does not come from the lowest and the highest of them:
// steps would take hundreds of samples to get away from a wrong one.
func (q *quantile) addFirst(sample float64) {
	q.first[q.samples] = sample
	q.samples++
	sorted := q.first[:q.samples]
	slices.Sort(sorted)
	rank := int(q.share * float64(q.samples))
	if q.samples > 2 {
		rank = min(max(rank, 1), q.samples-2)
	}
	q.value = sorted[rank]
}

// settled reports whether there were so many samples that a high quantile has been reached.
func (q *quantile) settled() bool { return q.samples >= settledSamples }

// known reports whether there were enough samples.
func (q *quantile) known() bool { return q.samples >= minSamples }
