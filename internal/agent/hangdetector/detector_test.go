package hangdetector

import (
	"testing"
	"time"
)

func TestHung(t *testing.T) {
	second := func(n int) time.Time { return time.Unix(int64(1000+n), 0) }
	tests := []struct {
		name string
		act  func(d *Detector)
		// at is the second at which Hung and then Available are called.
		at        int
		hung      bool
		available bool
	}{
		{name: "idle", act: func(*Detector) {}, at: 100, available: true},
		{name: "a long prompt", act: func(d *Detector) { d.Begin(second(0), "a") }, at: 60, available: true},
		{name: "tokens for some stream", act: func(d *Detector) {
			d.Begin(second(0), "a")
			d.Begin(second(0), "b")
			d.RecordToken(second(1), "a")
			d.RecordToken(second(8), "b")
		}, at: 12, available: true},
		{name: "no tokens for any stream", act: func(d *Detector) { d.Begin(second(0), "a"); d.RecordToken(second(1), "a") }, at: 7, hung: true},
		{name: "ended", act: func(d *Detector) { d.Begin(second(0), "a"); d.RecordToken(second(1), "a"); d.End("a") }, at: 7, available: true},
		{name: "reported once", act: func(d *Detector) {
			d.Begin(second(0), "a")
			d.RecordToken(second(1), "a")
			d.Hung(second(7))
		}, at: 8},
		{name: "no first token after a hang", act: func(d *Detector) {
			d.Begin(second(0), "a")
			d.RecordToken(second(1), "a")
			d.Hung(second(7))
			d.End("a")
			d.Begin(second(13), "b")
		}, at: 19, hung: true},
		{name: "recovered after a hang", act: func(d *Detector) {
			d.Begin(second(0), "a")
			d.RecordToken(second(1), "a")
			d.Hung(second(7))
			d.End("a")
			d.Begin(second(13), "b")
			d.RecordToken(second(14), "b")
			d.Begin(second(14), "c")
			d.End("b")
		}, at: 60, available: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Detector{}
			tt.act(d)
			if got := d.Hung(second(tt.at)); got != tt.hung {
				t.Errorf("hung %v", got)
			}
			if got := d.Available(second(tt.at)); got != tt.available {
				t.Errorf("available %v", got)
			}
		})
	}
}

func TestCooldownDoubles(t *testing.T) {
	d := &Detector{}
	now := time.Unix(1000, 0)
	d.Begin(now, "a")
	d.RecordToken(now, "a")
	for _, seconds := range []int{5, 10, 20, 40, 80, 80} {
		want := time.Duration(seconds) * time.Second
		now = now.Add(maxCooldown * 2)
		if !d.Hung(now) {
			t.Fatal("not hung")
		}
		if d.Available(now.Add(want-1)) || !d.Available(now.Add(want)) {
			t.Errorf("cooldown is not %v", want)
		}
	}
}
