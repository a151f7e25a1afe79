package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/control/registrar"
)

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 20
	return p
}

// TestRatesStayWithinBound loads entries with far more than the limit while links are
// cut, messages are lost or delayed, entries restart and homes move.
func TestRatesStayWithinBound(t *testing.T) {
	const rate = 20.0
	c := contractOf(registrar.Limits{RequestsPerSecond: rate})
	properties := gopter.NewProperties(parameters())
	properties.Property("requests in any window stay within the bound", prop.ForAll(
		func(seed uint64, size int) string {
			f := newFleet(seed, size)
			f.lossRate = 0.1 * f.r.Float64()
			removed := 0
			for range 400 {
				e := f.entries[f.r.IntN(size)]
				switch f.r.IntN(40) {
				case 0:
					e.partitioned = !e.partitioned
				case 1:
					f.restart(e)
				case 2:
					e.controlLost = !e.controlLost
				case 3:
					if e.controlLost && f.r.IntN(3) == 0 {
						f.remove(e)
						removed++
					}
				default:
					for range f.r.IntN(8) {
						f.tryAcquire(e, c, Demand{})
					}
				}
				f.advance(time.Duration(f.r.IntN(150)) * time.Millisecond)
			}
			// The bound is one burst plus the loans of one lease from before the window, and
			// for each entry that was removed while it still ran one burst plus what it lent
			// until its confirmation expired.
			bound := rate*(burstDuration+defaultLease).Seconds() + float64(removed)*rate*(burstDuration+defaultFreshness).Seconds()
			if worst := f.worstExcess(rate); worst > bound+1e-6 {
				return fmt.Sprintf("excess %.1f, bound %.1f (%d removed)", worst, bound, removed)
			}
			return ""
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 10),
	))
	properties.TestingRun(t)
}

// TestGenerationsStayWithinLimit checks the number of concurrent generations under cut
// links, lost messages, restarts and moved homes.
func TestGenerationsStayWithinLimit(t *testing.T) {
	const limit = 12
	c := contractOf(registrar.Limits{ConcurrentGenerations: limit})
	properties := gopter.NewProperties(parameters())
	run := func(seed uint64, size int, cuts, restarts bool) (most, allowed int) {
		f := newFleet(seed, size)
		f.lossRate = 0.1 * f.r.Float64()
		allowed = limit
		for range 400 {
			e := f.entries[f.r.IntN(size)]
			switch f.r.IntN(30) {
			case 0:
				e.partitioned = cuts && !e.partitioned
			case 1:
				if !restarts {
					continue
				}
				f.restart(e)
				// Generations at entries that the new home can't reach are not counted there.
				allowed = max(allowed, limit+f.running())
			case 2, 3, 4, 5, 6:
				f.releaseRandom(e)
			default:
				for range f.r.IntN(4) {
					f.tryAcquire(e, c, Demand{Generation: true})
				}
			}
			most = max(most, f.running())
			f.advance(time.Duration(f.r.IntN(150)) * time.Millisecond)
		}
		return most, allowed
	}
	properties.Property("cut links and lost messages never lead over the limit", prop.ForAll(
		func(seed uint64, size int) bool {
			most, _ := run(seed, size, true, false)
			return most <= limit
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 10),
	))
	properties.Property("restarts and moves of homes never lead over the limit while all links are up", prop.ForAll(
		func(seed uint64, size int) bool {
			most, _ := run(seed, size, false, true)
			return most <= limit
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 10),
	))
	properties.Property("both together exceed the limit by no more than the generations that run unreachable", prop.ForAll(
		func(seed uint64, size int) bool {
			most, allowed := run(seed, size, true, true)
			return most <= allowed
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 10),
	))
	properties.TestingRun(t)
}

// TestNoRefusalBelowLimit loads the entries unevenly with less than the limits, with all
// links up: each request must be accepted within defaultWaitTimeout.
func TestNoRefusalBelowLimit(t *testing.T) {
	const limit = 10
	c := contractOf(registrar.Limits{RequestsPerSecond: 50, ConcurrentGenerations: limit, TokensPerSecond: 5000, TokensInFlight: 10_000})
	properties := gopter.NewProperties(parameters())
	properties.Property("a workspace below its limits is not refused", prop.ForAll(
		func(seed uint64, size int) string {
			f := newFleet(seed, size)
			f.advance(defaultFreshness + defaultLease + time.Second)
			preferred := f.entries[0]
			for i := range 300 {
				if f.r.IntN(20) == 0 {
					preferred = f.entries[f.r.IntN(size)]
				}
				e := preferred
				if f.r.IntN(3) == 0 {
					e = f.entries[f.r.IntN(size)]
				}
				for f.running() >= limit {
					f.releaseRandom(f.entries[f.r.IntN(size)])
				}
				begun := f.now
				d := Demand{Generation: true, PromptTokens: f.r.Int64N(90), ExpectedTokens: f.r.Int64N(900)}
				for f.tryAcquire(e, c, d) == nil {
					if f.now.Sub(begun) > defaultWaitTimeout {
						return fmt.Sprintf("request %d refused", i)
					}
					f.advance(pollInterval)
					if f.now.Sub(begun)%defaultTick == 0 {
						f.tick()
					}
				}
				f.advance(20 * time.Millisecond)
				if i%5 == 0 {
					f.tick()
				}
			}
			return ""
		},
		gen.UInt64(), gen.OneConstOf(1, 3, 10),
	))
	properties.TestingRun(t)
}

// TestRestartedHomeKeepsBound restarts the home 50 times in a row.
func TestRestartedHomeKeepsBound(t *testing.T) {
	const rate = 10.0
	c := contractOf(registrar.Limits{RequestsPerSecond: rate})
	f := newFleet(7, 3)
	f.r = rand.New(rand.NewPCG(7, 7))
	for range 50 {
		f.restart(homeOf(t, f, c.Workspace))
		for range 10 {
			for _, e := range f.entries {
				f.tryAcquire(e, c, Demand{})
			}
			f.advance(100 * time.Millisecond)
		}
	}
	bound := rate * (burstDuration + defaultLease).Seconds()
	if worst := f.worstExcess(rate); worst > bound {
		t.Errorf("excess of %.1f requests over the rate, bound is %.1f", worst, bound)
	}
	if len(f.granted) == 0 {
		t.Error("a restarting home lent nothing at all")
	}
}
