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

func (e *Ejector) fails(now time.Time, n int) (last Change) {
	for range n {
		if c := e.Fail(now, "g", "a"); c.Ejected {
			last = c
		}
	}
	return last
}

func TestFailuresInARowEject(t *testing.T) {
	e := newEjector(4)
	if c := e.fails(testNow, DefaultFailures-1); c.Ejected {
		t.Error("ejected too early")
	}
	e.Succeed(testNow, "g", "a", time.Millisecond)
	if c := e.fails(testNow, DefaultFailures-1); c.Ejected {
		t.Error("an answer did not end the row of failures")
	}
	c := e.fails(testNow, 1)
	if !c.Ejected || c.For != DefaultBase || c.Slow {
		t.Errorf("got %+v, want an ejection for %s", c, DefaultBase)
	}
	if e.Usable(testNow.Add(DefaultBase-1), "a") || !e.Usable(testNow.Add(DefaultBase), "a") {
		t.Error("not out for just the time of the ejection")
	}
	if at := e.ReturnedAt("a"); !at.Equal(testNow.Add(DefaultBase)) {
		t.Errorf("returned at %s", at)
	}
}

func TestEjectionsGrowAndEnd(t *testing.T) {
	e := newEjector(4)
	now := testNow
	e.fails(now, DefaultFailures)
	for want := 2 * DefaultBase; want <= 64*DefaultBase; want *= 2 {
		now = e.ReturnedAt("a")
		c := e.fails(now, 1)
		if c.For != min(want, DefaultMax) {
			t.Fatalf("a failure after the return ejects for %s, want %s", c.For, min(want, DefaultMax))
		}
	}
	now = e.ReturnedAt("a").Add(DefaultMax)
	e.Succeed(now, "g", "a", time.Millisecond)
	if c := e.fails(now, DefaultFailures); c.For != DefaultBase {
		t.Errorf("after a good time ejected for %s, want %s", c.For, DefaultBase)
	}
}

func TestSlowOutlierIsEjected(t *testing.T) {
	e := newEjector(4)
	var c Change
	for range 2 * DefaultSlowAnswers {
		for _, name := range []string{"a", "b", "c"} {
			if c := e.Succeed(testNow, "g", name, 40*time.Millisecond); c.Ejected {
				t.Fatalf("%s was ejected", name)
			}
		}
		if change := e.Succeed(testNow, "g", "slow", 400*time.Millisecond); change.Ejected {
			c = change
		}
	}
	if !c.Slow {
		t.Error("the slow backend server was not ejected")
	}
	e = newEjector(4)
	for range 2 * DefaultSlowAnswers {
		for _, name := range []string{"a", "b", "c", "d"} {
			if c := e.Succeed(testNow, "g", name, 4*time.Second); c.Ejected {
				t.Fatal("all are slow, and one was ejected")
			}
		}
	}
}

// TestEjectedShareIsBounded fails servers at random.
func TestEjectedShareIsBounded(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	properties := gopter.NewProperties(p)
	properties.Property("at most a share of a group is out, and never the only one", prop.ForAll(
		func(seed uint64, size int) string {
			r := rand.New(rand.NewPCG(seed, 3))
			e := newEjector(size)
			now := testNow
			for range 500 {
				name := fmt.Sprint(r.IntN(size))
				if r.IntN(20) == 0 {
					e.Succeed(now, "g", name, time.Millisecond)
				} else {
					e.Fail(now, "g", name)
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
					return fmt.Sprintf("%d of %d are out", out, size)
				}
			}
			return ""
		},
		gen.UInt64(), gen.OneConstOf(1, 2, 3, 10, 30),
	))
	properties.TestingRun(t)
}

func TestRestartedServerStartsAfresh(t *testing.T) {
	e := newEjector(3)
	e.fails(testNow, DefaultFailures)
	e.Renew("a")
	if !e.Usable(testNow, "a") || !e.ReturnedAt("a").IsZero() {
		t.Error("a restarted backend server is still out")
	}
	e.fails(testNow, DefaultFailures)
	e.Forget(func(string) bool { return false })
	if len(e.servers) != 0 {
		t.Error("a backend server that left is remembered")
	}
}
