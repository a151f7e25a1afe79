package admitter

import "time"

const (
	// maxSamples bounds the history, which has to cover the delay of reports.
	maxSamples = 64
	// minShare is the share of the memory that the admitter must have counted as in
	// use for a comparison.
	minShare = 0.1
	// calibrateStep is the weight of one report in the moving average of the factor.
	calibrateStep = 0.05
	// minFactor and maxFactor bound the ratio of each comparison.
	minFactor = 0.5
	maxFactor = 4.0
)

type (
	// Calibrator compares the admitter's count of an engine's memory with what the
	// engine reports later. If the two count prompt tokens differently, the whole
	// count is off by a factor. The zero value is ready for use. A Calibrator is
	// not safe for concurrent use.
	Calibrator struct {
		// samples holds the latest counts, the oldest first.
		samples []sample
		// factor is the smoothed ratio of reported to counted memory; 0 before the
		// first comparison.
		factor float64
		// lastReport is the time of the newest report.
		lastReport time.Time
	}

	// sample is the admitter's count of the memory in use at a time, in tokens.
	sample struct {
		at   time.Time
		used int
	}
)

// Factor returns how many tokens the engine uses for each counted one; 1 before
// the first comparison.
func (c *Calibrator) Factor() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// RecordCount records the admitter's count of the memory in use at now, in tokens.
// The times of successive calls must not decrease.
func (c *Calibrator) RecordCount(now time.Time, used int) {
	if len(c.samples) == maxSamples {
		c.samples = append(c.samples[:0], c.samples[1:]...)
	}
	c.samples = append(c.samples, sample{at: now, used: used})
}

// RecordReport updates the factor from the memory that the engine used at a time,
// out of total tokens. A report that is no newer than the last one or can't be
// compared, since little memory was in use or no count is old enough, doesn't
// change the factor.
func (c *Calibrator) RecordReport(at time.Time, used, total int) {
	if !at.After(c.lastReport) {
		return
	}
	c.lastReport = at
	counted, ok := c.usedAt(at)
	if !ok || float64(counted) < minShare*float64(total) || used <= 0 {
		return
	}
	measured := min(max(float64(used)/float64(counted), minFactor), maxFactor)
	c.factor = c.Factor() + calibrateStep*(measured-c.Factor())
}

// usedAt returns the memory counted last before a time, in tokens; false if the time
// is before the history.
func (c *Calibrator) usedAt(at time.Time) (int, bool) {
	for i := len(c.samples) - 1; i >= 0; i-- {
		if !c.samples[i].at.After(at) {
			return c.samples[i].used, true
		}
	}
	return 0, false
}
