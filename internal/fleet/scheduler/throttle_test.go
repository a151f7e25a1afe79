package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/wire/messenger"
)

// limitEngine has an answer of an engine name its limit.
func limitEngine(s *Scheduler, now time.Time, id, perSecond string) {
	if s.Throttler == nil {
		s.Throttler = &throttler.Throttler{Publish: func(string, []*messenger.RateLimit) {}, Share: func() float64 { return 1 }}
	}
	s.Throttler.RecordAnswer(now, now, &messenger.Backend{Id: id, Started: 1}, []string{perSecond})
}

func TestGenerationsBeyondTheLimitsOfTheirEnginesAreRefusedLate(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"))
	limitEngine(s, start, "e1", "1")
	limitEngine(s, start, "e2", "2")
	placed := make(map[string][]time.Time)
	const played, interval = 20 * time.Second, 100 * time.Millisecond
	longest := time.Duration(0)
	submitted := make(map[string]time.Time)
	for now := start; now.Before(start.Add(played)); now = now.Add(interval / 2) {
		if now.Sub(start)%interval == 0 {
			run := fmt.Sprint(len(submitted))
			submitted[run] = now
			s.Submit(now, "entry", placeRequest(run, 100, 10))
		}
		s.Advance(now)
		for run, p := range d.placed {
			placed[p.Backend] = append(placed[p.Backend], now)
			s.Report(now, "entry", &messenger.RunState{Run: run, Backend: p.Backend, Phase: messenger.RunState_PHASE_STREAMING, MadeTokens: 4})
			s.Report(now, "entry", &messenger.RunState{Run: run, Backend: p.Backend, Phase: messenger.RunState_PHASE_ENDED, Whole: true})
			delete(d.placed, run)
		}
		for run, p := range d.refused {
			longest = max(longest, now.Sub(submitted[run]))
			if p.RetryAfterMs < 400 {
				t.Errorf("retry delay of %d ms", p.RetryAfterMs)
			}
			delete(d.refused, run)
		}
	}
	total := 0
	for id, rate := range map[string]float64{"e1": 1, "e2": 2} {
		times := placed[id]
		total += len(times)
		for i := range times {
			first, _ := slices.BinarySearchFunc(times, times[i].Add(-4*time.Second), time.Time.Compare)
			if n, most := float64(i-first+1), 1.5*rate*4+5; n > most {
				t.Fatalf("%v generations in 4 s on %s, want %v at most", n, id, most)
			}
		}
	}
	if want := int(0.8 * 3 * played.Seconds()); total < want {
		t.Errorf("%d generations placed in %v, want %d at least", total, played, want)
	}
	if objective := 1500 * time.Millisecond; longest > objective/2 {
		t.Errorf("a refused generation waited for %v of its objective of %v", longest, objective)
	}
}

func TestEngineWithoutALimitServesWhatOthersMayNot(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"), backendAt("e2", "a"))
	limitEngine(s, start, "e1", "0.5")
	for n := range 6 {
		s.Submit(start.Add(time.Duration(n)*time.Second/2), "entry", placeRequest(fmt.Sprint(n), 100, 10))
		reportStreaming(s, start.Add(time.Duration(n)*time.Second/2), d, fmt.Sprint(n))
	}
	if len(d.placed) != 6 {
		t.Errorf("%d of 6 generations are placed beside an engine without a limit", len(d.placed))
	}
}

func TestMoveToAnEngineCountsAgainstItsLimit(t *testing.T) {
	s, d := newScheduler(backendAt("e1", "a"))
	s.Submit(start, "entry", placeRequest("1", 3000, 400))
	reportStreaming(s, start, d, "1")
	s.SetBackends(start, []*messenger.Backend{drainingAt("e1"), backendAt("e2", "a")})
	limitEngine(s, start, "e2", "1")
	now := start.Add(time.Second)
	s.Advance(now)
	if len(d.moves) != 1 {
		t.Fatalf("%d moves", len(d.moves))
	}
	s.Report(now, "entry", &messenger.RunState{Run: "1", Backend: "e2", Phase: messenger.RunState_PHASE_STREAMING, MadeTokens: 100})
	if s.Throttler.Wait(now, backendAt("e2", "a")) == 0 {
		t.Error("the engine may get another request at once")
	}
}
