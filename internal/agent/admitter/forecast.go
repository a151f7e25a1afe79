package admitter

import "math"

// horizons are how many tokens ahead the memory is forecast: all running
// generations grow by one token in each step of the engine.
var horizons = [...]int{4, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

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

	// forecast is the distribution of the memory of a set of generations at
	// each horizon. Each of them is either over by then, and holds nothing, or
	// has grown by the horizon.
	forecast [len(horizons)]moments
)

// add includes a generation that holds memory tokens now, may grow by atMost,
// and reaches horizon i with chance alive[i].
func (f *forecast) add(memory, atMost int, alive *[len(horizons)]float64) {
	for i, ahead := range horizons {
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

// fits tells whether a work may join the generations of the forecast: at no
// horizon is the chance that it still runs, and that memory is over bound then,
// higher than risk. A work that is over soon does not answer for a shortage
// that others may bring later.
func (f *forecast) fits(memory, atMost int, alive *[len(horizons)]float64, risk, bound float64) bool {
	for i, ahead := range horizons {
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

// peak returns the highest quantile over all horizons.
func (f *forecast) peak(z float64) float64 {
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
