package admitter

import (
	"testing"
	"time"
)

func TestCalibrator(t *testing.T) {
	const lag = time.Second
	tests := []struct {
		name string
		// used is what the engine reports, own what the admitter counts.
		used int
		own  int
		low  float64
		high float64
	}{
		{"same count", 20_000, 20_000, 0.99, 1.01},
		{"engine uses more", 30_000, 20_000, 1.45, 1.55},
		{"engine uses less", 14_000, 20_000, 0.65, 0.75},
		{"nearly idle", 9000, 3000, 1, 1},
		{"implausible ratio is bounded", 60_000, 7000, 1, maxFactor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Calibrator
			now := epoch
			for range 200 {
				now = now.Add(250 * time.Millisecond)
				c.RecordCount(now, tt.own)
				c.RecordReport(now.Add(-lag), tt.used, 60_000)
				// A report with the same time again is ignored: engines report less
				// often than they are polled.
				c.RecordReport(now.Add(-lag), 60_000, 60_000)
			}
			if got := c.Factor(); got < tt.low || got > tt.high {
				t.Errorf("factor %.2f, want %.2f to %.2f", got, tt.low, tt.high)
			}
			if len(c.samples) > maxSamples {
				t.Errorf("%d samples", len(c.samples))
			}
		})
	}
}

func TestCalibratorComparesSameTime(t *testing.T) {
	// The count rises by 100 tokens every 250 ms and reports are 2 s late, so a
	// comparison with the current count would make the engine seem to use less.
	var c Calibrator
	now := epoch
	for i := range 400 {
		now = now.Add(250 * time.Millisecond)
		c.RecordCount(now, 10_000+100*i)
		if i >= 8 {
			c.RecordReport(now.Add(-2*time.Second), 10_000+100*(i-8), 60_000)
		}
	}
	if got := c.Factor(); got < 0.99 || got > 1.01 {
		t.Errorf("factor %.3f, want 1", got)
	}
}
