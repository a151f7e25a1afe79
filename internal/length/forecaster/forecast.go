// Package forecaster forecasts the memory that a set of generations will take together,
// from what each holds now and the chances that it still runs some tokens later.
package forecaster

import "math"

// Horizons are how many tokens ahead the memory is forecast: all running
// generations grow by one token in each step of the engine.
var Horizons = [...]int{4, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// maxSkew bounds the correction for skewness, beyond which the expansion does
// not hold.
const maxSkew = 1.5

type (
	// moments are the first three cumulants of the memory at one horizon.
	moments struct {
		mean  float64
		var2  float64
		third float64
	}

	// Forecast is the distribution of the memory of a set of generations at
	// each horizon. Each of them is either over by then, and holds nothing, or
	// has grown by the horizon.
	Forecast [len(Horizons)]moments

	// Chances are the probabilities that a generation still runs at each horizon.
	Chances [len(Horizons)]float64
)

// Add includes a generation that holds memory tokens now, may grow by atMost,
// and reaches horizon i with chance alive[i].
func (f *Forecast) Add(memory, atMost int, alive *Chances) {
	for i, ahead := range Horizons {
		if ahead > atMost {
			return
		}
		p := alive[i]
		size := float64(memory + ahead)
		spread := p * (1 - p) * size * size
		f[i].mean += p * size
		f[i].var2 += spread
		f[i].third += spread * (1 - 2*p) * size
	}
}

// Hold includes memory that does not grow and is given back once the generations have
// made steps more tokens.
func (f *Forecast) Hold(memory, steps int) {
	for i, ahead := range Horizons {
		if ahead > steps && i > 0 {
			return
		}
		f[i].mean += float64(memory)
	}
}

// Fits tells whether a work may join the generations of the forecast: at no
// horizon is the chance that it still runs, and that memory is over bound then,
// higher than risk. A work that is over soon does not answer for a shortage
// that others may bring later.
func (f *Forecast) Fits(memory, atMost int, alive *Chances, risk, bound float64) bool {
	for i, ahead := range Horizons {
		if ahead > atMost || alive[i] <= risk {
			return true
		}
		z := probit(1 - risk/alive[i])
		if f[i].quantile(z)+float64(memory+ahead) > bound {
			return false
		}
	}
	return true
}

// Peak returns the highest memory over all horizons that is not exceeded there but
// with the chance risk.
func (f *Forecast) Peak(risk float64) float64 {
	z := probit(1 - risk)
	highest := 0.0
	for i := range f {
		highest = max(highest, f[i].quantile(z))
	}
	return highest
}

// quantile returns that of a normal distribution at z standard deviations,
// corrected for skewness (Cornish and Fisher).
func (m *moments) quantile(z float64) float64 {
	if m.var2 <= 0 {
		return m.mean
	}
	sd := math.Sqrt(m.var2)
	skew := min(max(m.third/(sd*m.var2), -maxSkew), maxSkew)
	return m.mean + sd*(z+(z*z-1)*skew/6)
}

// probit returns the quantile of the standard normal distribution.
func probit(q float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*q-1)
}
