package ejector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testNow = time.Unix(1_000_000_000, 0)

func newEjector(size int) *Ejector {
	return &Ejector{Size: func(string) int { return size }, Random: func() float64 { return 0 }}
}

func (e *Ejector) failTimes(now time.Time, n int) (last Result) {
	for range n {
		if c := e.RecordFailure(now, "g", "a"); c.Ejected {
			last = c
		}
	}
	return last
}

func TestFailuresInARowEject(t *testing.T) {
	e := newEjector(4)
	if c := e.failTimes(testNow, DefaultFailures-1); c.Ejected {
		t.Error("ejected too early")
	}
	e.RecordSuccess(testNow, "g", "a", time.Millisecond)
	if c := e.failTimes(testNow, DefaultFailures-1); c.Ejected {
		t.Error("an answer did not reset the count of failures")
	}
	c := e.failTimes(testNow, 1)
	if !c.Ejected || c.Duration != DefaultBase || c.Slow {
		t.Errorf("got %+v, want an ejection for %s", c, DefaultBase)
	}
	if e.Usable(testNow.Add(DefaultBase-1), "a") || !e.Usable(testNow.Add(DefaultBase), "a") {
		t.Error("not ejected for exactly the duration of the ejection")
	}
	if at := e.EjectionEnd("a"); !at.Equal(testNow.Add(DefaultBase)) {
		t.Errorf("the ejection ends at %s, not DefaultBase after it began", at)
	}
}

func TestRepeatedEjectionsDouble(t *testing.T) {
	e := newEjector(4)
	now := testNow
	e.failTimes(now, DefaultFailures)
	for want := 2 * DefaultBase; want <= 64*DefaultBase; want *= 2 {
		now = e.EjectionEnd("a")
		c := e.failTimes(now, 1)
		if c.Duration != min(want, DefaultMax) {
			t.Fatalf("a failure after the return ejects for %s, want %s", c.Duration, min(want, DefaultMax))
		}
	}
	now = e.EjectionEnd("a").Add(DefaultMax)
	e.RecordSuccess(now, "g", "a", time.Millisecond)
	if c := e.failTimes(now, DefaultFailures); c.Duration != DefaultBase {
		t.Errorf("ejected for %s after an answer at the end of probation, want %s", c.Duration, DefaultBase)
	}
}

func TestSlowOutlierIsEjected(t *testing.T) {
	e := newEjector(4)
	var c Result
	for range 2 * DefaultSlowAnswers {
		for _, name := range []string{"a", "b", "c"} {
			if c := e.RecordSuccess(testNow, "g", name, 40*time.Millisecond); c.Ejected {
				t.Fatalf("%s was ejected", name)
			}
		}
		if change := e.RecordSuccess(testNow, "g", "slow", 400*time.Millisecond); change.Ejected {
			c = change
		}
	}
	if !c.Slow {
		t.Error("the slow backend server was not ejected")
	}
	e = newEjector(4)
	for range 2 * DefaultSlowAnswers {
		for _, name := range []string{"a", "b", "c", "d"} {
			if c := e.RecordSuccess(testNow, "g", name, 4*time.Second); c.Ejected {
				t.Fatal("one of equally slow backend servers was ejected")
			}
		}
	}
}

// TestEjectedShareIsBounded records random failures and a few successes.
func TestEjectedShareIsBounded(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	properties := gopter.NewProperties(p)
	properties.Property("at most a share of a group is ejected, and never the only one", prop.ForAll(
		func(seed uint64, size int) string {
			r := rand.New(rand.NewPCG(seed, 3))
			e := newEjector(size)
			now := testNow
			for range 500 {
				name := fmt.Sprint(r.IntN(size))
				if r.IntN(20) == 0 {
					e.RecordSuccess(now, "g", name, time.Millisecond)
				} else {
					e.RecordFailure(now, "g", name)
				}
				now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
				out := 0
				for i := range size {
					if !e.Usable(now, fmt.Sprint(i)) {
						out++
					}
				}
				most := max(1, int(DefaultMaxShare*float64(size)))
				if size == 1 {
					most = 0
				}
				if out > most {
					return fmt.Sprintf("%d of %d are ejected", out, size)
				}
			}
			return ""
		},
		gen.UInt64(), gen.OneConstOf(1, 2, 3, 10, 30),
	))
	properties.TestingRun(t)
}

func TestResetAndPrune(t *testing.T) {
	e := newEjector(3)
	e.failTimes(testNow, DefaultFailures)
	e.Reset("a")
	if !e.Usable(testNow, "a") || !e.EjectionEnd("a").IsZero() {
		t.Error("a restarted backend server is still ejected")
	}
	e.failTimes(testNow, DefaultFailures)
	e.Prune(func(string) bool { return false })
	if len(e.servers) != 0 {
		t.Error("the state of a backend server that left was kept")
	}
}
