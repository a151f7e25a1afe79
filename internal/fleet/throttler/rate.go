package throttler

import (
	"math"
	"strconv"
	"strings"
)

// maxPerSecond is the highest rate that counts as a limit.
const maxPerSecond = 1e9

// parseRate parses the values of a field that names a rate, and returns the lowest. ok is false if none
// is a rate.
func parseRate(values []string) (lowest float64, ok bool) {
	lowest = math.Inf(1)
	for _, field := range values {
		for text := range strings.SplitSeq(field, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err == nil && isRate(rate) {
				lowest = min(lowest, rate)
			}
		}
	}
	if math.IsInf(lowest, 1) {
		return 0, false
	}
	return lowest, true
}

// isRate reports whether a number is a rate that a limit may have; NaN is none.
func isRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxPerSecond }
