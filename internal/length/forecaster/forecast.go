// Package forecaster forecasts the memory that a set of generations takes together, from the
// memory that each holds now and the probabilities that it still runs some tokens later.
package forecaster

import "math"

// Horizons are the numbers of tokens ahead for which memory is forecast: each running
// generation grows by one token in each step of the engine.
var Horizons = [...]int{4, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// maxSkew bounds the correction for skewness, as the expansion is not valid beyond.
const maxSkew = 1.5

type (
	// moments are the first three cumulants of the memory at one horizon.
	moments struct {
		mean          float64
		variance      float64
		thirdCumulant float64
	}

	// Forecast is the distribution of the memory of a set of generations at each
	// horizon. By then a generation has either ended, and holds nothing, or has grown
	// by the horizon.
	Forecast [len(Horizons)]moments

	// Chances holds the probabilities that a generation still runs at each horizon.
	Chances [len(Horizons)]float64

	// Demand is the memory that a further generation needs, prepared for Fits.
	Demand struct {
		memory int
		// deviations holds, for each horizon that matters, the number of standard deviations
		// above the mean of the other generations' memory that must be left free.
		deviations [len(Horizons)]float64
		horizons   int
	}
)

// NewDemand returns the demand of a generation that holds memory tokens at its start, may grow by
// maxGrowth tokens and reaches horizon i with probability chances[i]. risk is the accepted
// probability at each horizon that it still runs and memory is short.
func NewDemand(memory, maxGrowth int, chances *Chances, risk float64) Demand {
	d := Demand{memory: memory}
	for i, ahead := range Horizons {
		if ahead > maxGrowth || chances[i] <= risk {
			break
		}
		d.deviations[i] = probit(1 - risk/chances[i])
		d.horizons++
	}
	return d
}

// Add includes a generation that holds memory tokens now, may grow by maxGrowth tokens,
// and reaches horizon i with probability chances[i].
func (f *Forecast) Add(memory, maxGrowth int, chances *Chances) {
	for i, ahead := range Horizons {
		if ahead > maxGrowth {
			return
		}
		p := chances[i]
		size := float64(memory + ahead)
		variance := p * (1 - p) * size * size
		f[i].mean += p * size
		f[i].variance += variance
		f[i].thirdCumulant += variance * (1 - 2*p) * size
	}
}

// AddFixed includes memory that does not grow and is freed once the generations have made
// steps more tokens.
func (f *Forecast) AddFixed(memory, steps int) {
	for i, ahead := range Horizons {
		if ahead > steps && i > 0 {
			return
		}
		f[i].mean += float64(memory)
	}
}

// Fits reports whether a generation fits beside those of the forecast: at each horizon, the
// probability that it still runs and that memory exceeds bound is at most its accepted risk. So
// a generation that is likely to end soon may join although others will run short later.
func (f *Forecast) Fits(d *Demand, bound float64) bool {
	for i := range d.horizons {
		if f[i].quantile(d.deviations[i])+float64(d.memory+Horizons[i]) > bound {
			return false
		}
	}
	return true
}

// Peak returns the highest memory over all horizons, where memory at a horizon is the
// quantile that is exceeded with probability risk.
func (f *Forecast) Peak(risk float64) float64 {
	z := probit(1 - risk)
	highest := 0.0
	for i := range f {
		highest = max(highest, f[i].quantile(z))
	}
	return highest
}

// quantile returns the value at z standard deviations of a normal distribution, corrected
// for skewness (Cornish-Fisher expansion).
func (m *moments) quantile(z float64) float64 {
	if m.variance <= 0 {
		return m.mean
	}
	sd := math.Sqrt(m.variance)
	skew := min(max(m.thirdCumulant/(sd*m.variance), -maxSkew), maxSkew)
	return m.mean + sd*(z+(z*z-1)*skew/6)
}

// probit returns the quantile of the standard normal distribution.
func probit(q float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*q-1)
}
