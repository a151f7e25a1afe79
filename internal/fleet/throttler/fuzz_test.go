package throttler

import (
	"testing"
	"time"
)

func FuzzLimit(f *testing.F) {
	for _, text := range []string{"3", "2.5e1", "-1", "NaN", "1e999", "0x1p-1074", "1e-300", ",", "4, 3"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		th, _ := newThrottler(1)
		name(th, start, text)
		for n := range 3 {
			now := start.Add(time.Duration(n) * time.Minute)
			if wait, granted := th.Reserve(now, server, 0); !granted || wait != 0 {
				t.Fatalf("limit %q permits no request after a minute: %v", text, wait)
			}
		}
	})
}
