package retrier

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testNow = time.Unix(1_000_000_000, 0)

// TestBudget retries every request: the allowed retries stay at their share of requests.
func TestBudget(t *testing.T) {
	tests := []struct {
		name      string
		perSecond int
		share     float64
		least     float64
		most      float64
	}{
		{"default share of many requests", 1000, 0, 0.1, 0.1 + 0.05},
		{"a fifth", 500, 0.2, 0.2, 0.2 + 0.05},
		{"few requests", 2, 0, 0.4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Budget{Share: tt.share}
			requests, retries := 0, 0
			for i := range 60 * tt.perSecond {
				now := testNow.Add(time.Duration(i) * time.Second / time.Duration(tt.perSecond))
				b.RecordRequest(now)
				requests++
				if b.Allow(now) {
					retries++
				}
			}
			if share := float64(retries) / float64(requests); share < tt.least || share > tt.most {
				t.Errorf("%.3f of the requests were retried, want %.3f to %.3f", share, tt.least, tt.most)
			}
		})
	}
}

func TestBudgetCapacityIsBounded(t *testing.T) {
	b := &Budget{}
	for i := range 1000 {
		b.RecordRequest(testNow.Add(time.Duration(i) * time.Millisecond))
	}
	later := testNow.Add(time.Hour)
	n := 0
	for b.Allow(later) {
		n++
	}
	if most := int(DefaultMinPerSecond * accumulationTime.Seconds()); n > most {
		t.Errorf("%d retries at once after an hour, want at most %d", n, most)
	}
}

func TestBackoff(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	b := Backoff{Random: r.Float64}
	for n := range 100 {
		bound := min(DefaultBase<<min(max(n-1, 0), 20), DefaultMax)
		for range 100 {
			if p := b.Pause(n); p < 0 || p >= bound {
				t.Fatalf("pause %d is %s, want below %s", n, p, bound)
			}
		}
	}
	longest := Backoff{Random: func() float64 { return 0.999 }}
	if p := longest.Pause(3); p < 79*time.Millisecond {
		t.Errorf("third pause %s, want nearly 80 ms", p)
	}
}
