package forecaster

import "testing"

// certain returns the chances of a generation that makes just so many more tokens.
func certain(more int) *Chances {
	alive := &Chances{}
	for i, ahead := range Horizons {
		if ahead <= more {
			alive[i] = 1
		}
	}
	return alive
}

func TestGenerationsThatEndInTurnShareMemory(t *testing.T) {
	f := &Forecast{}
	for _, more := range []int{32, 256, 2048} {
		f.Add(1000, more, certain(more))
	}
	// All three hold 1032 once 32 more are made, two 1256 later on, one 3048 at last.
	if got := f.Peak(0.1); got < 3095 || got > 3100 {
		t.Errorf("peak is %.0f, want 3096", got)
	}
	alone := &Forecast{}
	alone.Add(1000, 2048, certain(2048))
	if got := alone.Peak(0.1); got != 3048 {
		t.Errorf("peak of the last one is %.0f, want 3048", got)
	}
}

func TestGenerationThatIsOverSoonNeedNotWaitForALaterShortage(t *testing.T) {
	f := &Forecast{}
	f.Add(1000, 2048, certain(2048))
	const bound, risk = 2600, 0.1
	if short := certain(64); !f.Fits(1000, 64, short, risk, bound) {
		t.Error("short one does not fit though it is over before memory runs short")
	}
	if long := certain(2048); f.Fits(1000, 2048, long, risk, bound) {
		t.Error("long one fits though two of 3048 do not")
	}
}
