package budgeter

import (
	"testing"
	"time"
)

func TestRetriesStayWithinTheBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		requests int
		hosts    int
		// most is the number of retries that the settings allow in any window.
		most float64
	}{
		{"slack alone", 0, 1, 60},
		{"slack shared by hosts", 0, 8, 60.0 / 8},
		{"requests and slack", 100, 8, 0.2*100 + 60.0/8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Budgeter{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Hosts: func() int { return tt.hosts }}
			for range tt.requests {
				b.RecordRequest(start, "service")
			}
			allowed := 0
			for range 1000 {
				if b.AllowRetry(start.Add(time.Second), "service") {
					allowed++
				}
			}
			if allowed == 0 || float64(allowed) > tt.most {
				t.Errorf("%d retries allowed, want 1 to %.1f", allowed, tt.most)
			}
			if b.AllowRetry(start.Add(9*time.Second), "service") {
				t.Error("retry allowed beyond the budget of the window")
			}
			if !b.AllowRetry(start.Add(12*time.Second), "service") {
				t.Error("no retry allowed after the window")
			}
			if !b.AllowRetry(start.Add(time.Second), "other") {
				t.Error("no retry allowed for another service")
			}
		})
	}
}
