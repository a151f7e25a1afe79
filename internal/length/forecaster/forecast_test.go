package forecaster

import "testing"

// certain returns the chances of a generation that makes exactly more further tokens.
func certain(more int) *Chances {
	chances := &Chances{}
	for i, ahead := range Horizons {
		if ahead <= more {
			chances[i] = 1
		}
	}
	return chances
}

func TestPeakOfGenerationsThatEndInTurn(t *testing.T) {
	f := &Forecast{}
	for _, more := range []int{32, 256, 2048} {
		f.Add(1000, more, certain(more))
	}
	// All three hold 1032 each after 32 tokens; later two hold 1256 each, and one 3048 at the end.
	if got := f.Peak(0.1); got < 3095 || got > 3100 {
		t.Errorf("peak is %.0f, want 3096", got)
	}
	alone := &Forecast{}
	alone.Add(1000, 2048, certain(2048))
	if got := alone.Peak(0.1); got != 3048 {
		t.Errorf("peak of the last one is %.0f, want 3048", got)
	}
}

func TestFitsIgnoresShortageAfterTheEnd(t *testing.T) {
	f := &Forecast{}
	f.Add(1000, 2048, certain(2048))
	const bound, risk = 2600, 0.1
	if short := NewDemand(1000, 64, certain(64), risk); !f.Fits(&short, bound) {
		t.Error("short one does not fit though it ends before memory runs short")
	}
	if long := NewDemand(1000, 2048, certain(2048), risk); f.Fits(&long, bound) {
		t.Error("long one fits though two of 3048 do not")
	}
}
