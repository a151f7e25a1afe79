package admitter

import "time"

const (
	// maxSamples bounds the remembered account, which covers the lag of reports.
	maxSamples = 64
	// leastShare is the part of memory that has to be in use for a comparison.
	leastShare = 0.1
	// calibrateStep is how much one report changes the factor.
	calibrateStep = 0.05
	leastFactor   = 0.5
	mostFactor    = 4.0
)

type (
	// Calibrator compares the account of an engine's memory with what the engine
	// reports later: where prompts are counted otherwise than the engine does,
	// all of the account is off by some factor. Its zero value is ready for use;
	// it isn't safe for concurrent use.
	Calibrator struct {
		samples []sample
		// factor is the engine's memory for one token of the account.
		factor float64
		last   time.Time
	}

	sample struct {
		at   time.Time
		used int
	}
)

// Factor returns how many tokens the engine uses for one of the account; 1
// before anything is known.
func (c *Calibrator) Factor() float64 {
	if c.factor == 0 {
		return 1
	}
	return c.factor
}

// Note remembers the account at now.
func (c *Calibrator) Note(now time.Time, used int) {
	if len(c.samples) == maxSamples {
		c.samples = append(c.samples[:0], c.samples[1:]...)
	}
	c.samples = append(c.samples, sample{at: now, used: used})
}

// Report takes what the engine used at a time, of total tokens of memory. A
// report that was taken before changes nothing.
func (c *Calibrator) Report(at time.Time, used, total int) {
	if !at.After(c.last) {
		return
	}
	c.last = at
	own, ok := c.usedAt(at)
	if !ok || float64(own) < leastShare*float64(total) || used <= 0 {
		return
	}
	measured := min(max(float64(used)/float64(own), leastFactor), mostFactor)
	c.factor = c.Factor() + calibrateStep*(measured-c.Factor())
}

// usedAt returns the account at a time; false if it is not remembered.
func (c *Calibrator) usedAt(at time.Time) (int, bool) {
	for i := len(c.samples) - 1; i >= 0; i-- {
		if !c.samples[i].at.After(at) {
			return c.samples[i].used, true
		}
	}
	return 0, false
}
