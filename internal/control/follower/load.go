package follower

import "math/bits"

// Load is an agent's load as control forwards it, in coarse steps so that few
// changes have to be sent.
type Load struct {
	// Used and Expected are shares of the engine's memory, from 0 to 1 in steps of 1/31.
	Used     float64
	Expected float64
	// Running and Waiting are counts, exact up to 3 and rounded up by at most a third above.
	Running int
	Waiting int
	Leaving bool
}

const (
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

// UnpackLoad returns the load that PackLoad packed.
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

// packCount returns the step of a count, with two steps for each doubling.
func packCount(n int) uint32 {
	for step := range uint32(fieldMask) {
		if unpackCount(step) >= n {
			return step
		}
	}
	return fieldMask
}

// unpackCount returns the largest count of a step.
func unpackCount(step uint32) int {
	if step < 4 {
		return int(step)
	}
	base := 1 << (step / 2)
	return base + int(step%2)*base/2
}

// LoadShare returns used as a share of total, 0 if total is 0.
func LoadShare(used, total uint64) float64 {
	if total == 0 {
		return 0
	}
	if bits.Len64(used) > 53 {
		return 1
	}
	return float64(used) / float64(total)
}
