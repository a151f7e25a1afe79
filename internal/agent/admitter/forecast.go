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

// peak returns the highest quantile over all horizons. The quantile is that of
// a normal distribution at z standard deviations, corrected for skewness
// (Cornish and Fisher).
func (f *forecast) peak(z float64) float64 {
	highest := 0.0
	for _, m := range f {
		if m.var2 <= 0 {
			highest = max(highest, m.mean)
			continue
		}
		sd := math.Sqrt(m.var2)
		skew := min(max(m.third/(sd*m.var2), -maxSkew), maxSkew)
		highest = max(highest, m.mean+sd*(z+(z*z-1)*skew/6))
	}
	return highest
}
