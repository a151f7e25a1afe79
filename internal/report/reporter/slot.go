package reporter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareach/internal/wire/messenger"
)

// Parameters of all histograms: units of 100 microseconds up to 10 minutes, with
// one significant digit, so that a bucket's width is at most a sixteenth of its value.
const (
	Unit              = 100 * time.Microsecond
	highestUnits      = int64(10 * time.Minute / Unit)
	significantDigits = 1
)

// slot holds the counts of the current minute of one series.
type slot struct {
	// counts holds all fields of a BurnSlot except the histograms.
	counts      messenger.BurnSlot
	firstTokens *hdrhistogram.PackedHistogram
	gaps        *hdrhistogram.PackedHistogram
}

// NewHistogram returns an empty histogram in units of Unit.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestUnits, significantDigits)
}

// AddSlot adds the counts of from to sum. The buckets of histograms stay in ascending order.
func AddSlot(sum, from *messenger.BurnSlot) {
	sum.Requests += from.GetRequests()
	sum.FirstTokens += from.GetFirstTokens()
	sum.FirstTokensLate += from.GetFirstTokensLate()
	sum.Gaps += from.GetGaps()
	sum.GapsLate += from.GetGapsLate()
	sum.Stalls += from.GetStalls()
	sum.StallNanos += from.GetStallNanos()
	sum.Preemptions += from.GetPreemptions()
	sum.Incomplete += from.GetIncomplete()
	sum.RefusedLimit += from.GetRefusedLimit()
	sum.RefusedRoom += from.GetRefusedRoom()
	sum.FirstTokenValues, sum.FirstTokenCounts = addBuckets(
		sum.FirstTokenValues, sum.FirstTokenCounts, from.GetFirstTokenValues(), from.GetFirstTokenCounts())
	sum.GapValues, sum.GapCounts = addBuckets(sum.GapValues, sum.GapCounts, from.GetGapValues(), from.GetGapCounts())
}

// FirstTokens returns the histogram of the times to the first token.
func FirstTokens(s *messenger.BurnSlot) *hdrhistogram.Histogram {
	return histogram(s.GetFirstTokenValues(), s.GetFirstTokenCounts())
}

// Gaps returns the histogram of the times between tokens.
func Gaps(s *messenger.BurnSlot) *hdrhistogram.Histogram {
	return histogram(s.GetGapValues(), s.GetGapCounts())
}

func newSlot() *slot {
	return &slot{
		firstTokens: hdrhistogram.NewPacked(1, highestUnits, significantDigits),
		gaps:        hdrhistogram.NewPacked(1, highestUnits, significantDigits),
	}
}

// addTo adds the slot to sum.
func (s *slot) addTo(sum *messenger.BurnSlot) {
	AddSlot(sum, &s.counts)
	values, counts := buckets(s.firstTokens)
	sum.FirstTokenValues, sum.FirstTokenCounts = addBuckets(sum.FirstTokenValues, sum.FirstTokenCounts, values, counts)
	values, counts = buckets(s.gaps)
	sum.GapValues, sum.GapCounts = addBuckets(sum.GapValues, sum.GapCounts, values, counts)
}

// addBuckets merges two histograms in sparse form, whose values are in ascending order.
func addBuckets(values []uint32, counts []uint64, moreValues []uint32, moreCounts []uint64) ([]uint32, []uint64) {
	if len(moreValues) == 0 || len(moreValues) != len(moreCounts) {
		return values, counts
	}
	if len(values) == 0 {
		return append(values, moreValues...), append(counts, moreCounts...)
	}
	sumValues := make([]uint32, 0, len(values)+len(moreValues))
	sumCounts := make([]uint64, 0, len(values)+len(moreValues))
	i, j := 0, 0
	for i < len(values) || j < len(moreValues) {
		switch {
		case j == len(moreValues) || i < len(values) && values[i] < moreValues[j]:
			sumValues = append(sumValues, values[i])
			sumCounts = append(sumCounts, counts[i])
			i++
		case i == len(values) || moreValues[j] < values[i]:
			sumValues = append(sumValues, moreValues[j])
			sumCounts = append(sumCounts, moreCounts[j])
			j++
		default:
			sumValues = append(sumValues, values[i])
			sumCounts = append(sumCounts, counts[i]+moreCounts[j])
			i++
			j++
		}
	}
	return sumValues, sumCounts
}

// buckets returns a histogram in sparse form.
func buckets(h *hdrhistogram.PackedHistogram) ([]uint32, []uint64) {
	values := make([]uint32, 0, h.Populated())
	counts := make([]uint64, 0, h.Populated())
	h.ForEachBucket(func(value, count int64) bool {
		values = append(values, uint32(value))
		counts = append(counts, uint64(count))
		return true
	})
	return values, counts
}

func histogram(values []uint32, counts []uint64) *hdrhistogram.Histogram {
	h := NewHistogram()
	for i, v := range values {
		if i < len(counts) {
			record(h.RecordValues, int64(v), int64(counts[i]))
		}
	}
	return h
}

// record records a value n times, in units of Unit and clamped to the histogram's range.
func record(recordValues func(v, n int64) error, units, n int64) {
	units = min(max(units, 0), highestUnits)
	if err := recordValues(units, n); err != nil {
		// The library refuses only values out of range and negative counts, and neither occurs here.
		return
	}
}
