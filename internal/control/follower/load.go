package follower

import "math/bits"

// Load is an agent's load as control forwards it, quantized so that few changes
// have to be sent.
type Load struct {
	// Used is the memory in use and Expected the peak use that admission forecasts,
	// both as shares of the engine's memory, from 0 to 1 in steps of 1/31.
	Used     float64
	Expected float64
	// Running and Waiting are counts, exact up to 4; larger ones are rounded up by
	// less than half, and capped at 49152.
	Running int
	Waiting int
	// Leaving is set if the agent's mark is to leave service.
	Leaving bool
}

// A packed load has, from the lowest bit on, the fields Used, Expected, Running and
// Waiting of 5 bits each, and 1 bit for Leaving.
const (
	// shareSteps is the value of a share of 1.
	shareSteps = 31
	fieldBits  = 5
	fieldMask  = 1<<fieldBits - 1
)

// PackLoad packs a load into the 21 bits in which it is sent.
func PackLoad(l Load) uint32 {
	packed := packShare(l.Used) | packShare(l.Expected)<<fieldBits
	packed |= packCount(l.Running)<<(2*fieldBits) | packCount(l.Waiting)<<(3*fieldBits)
	if l.Leaving {
		packed |= 1 << (4 * fieldBits)
	}
	return packed
}

// UnpackLoad returns a packed load, with the rounding that Load describes.
func UnpackLoad(packed uint32) Load {
	return Load{
		Used:     float64(packed&fieldMask) / shareSteps,
		Expected: float64(packed>>fieldBits&fieldMask) / shareSteps,
		Running:  unpackCount(packed >> (2 * fieldBits) & fieldMask),
		Waiting:  unpackCount(packed >> (3 * fieldBits) & fieldMask),
		Leaving:  packed>>(4*fieldBits)&1 == 1,
	}
}

func packShare(share float64) uint32 {
	return uint32(min(max(share, 0), 1)*shareSteps + 0.5)
}

// packCount returns the lowest step whose count is at least n, or the highest step
// if there is none. Above 4 there are two steps for each doubling.
func packCount(n int) uint32 {
	for step := range uint32(fieldMask) {
		if unpackCount(step) >= n {
			return step
		}
	}
	return fieldMask
}

// unpackCount returns the largest count that packCount maps to step, except that
// the highest step also stands for all larger counts.
func unpackCount(step uint32) int {
	if step < 4 {
		return int(step)
	}
	base := 1 << (step / 2)
	return base + int(step%2)*base/2
}

// LoadShare returns used as a share of total, both in tokens. It is above 1 if used
// exceeds total, 0 if total is 0, and 1 if used is 2^53 or more, where float64 no
// longer holds every whole number.
func LoadShare(used, total uint64) float64 {
	if total == 0 {
		return 0
	}
	if bits.Len64(used) > 53 {
		return 1
	}
	return float64(used) / float64(total)
}
