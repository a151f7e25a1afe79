package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineCount = 6
	// askTokens and draftTokens are the lengths of short and of long generations.
	askTokens, draftTokens = 16, 1000
	// asksBefore and asksBeside are the numbers of short generations before and beside the draftCount long ones,
	// askPause the time between two of them.
	asksBefore, asksBeside, draftCount = 280, 200, 12
	askPause                           = 40 * time.Millisecond
	// leaveAfter is when an engine leaves after the long generations have begun.
	leaveAfter = 3 * time.Second
	// servedPerLoss is how many requests an engine has run at least when it loses the answer to one.
	servedPerLoss = 40
	// bothBound is how long two engines may work on one generation.
	bothBound = 400 * time.Millisecond
)

// playMoved has an engine leave while it makes long generations. They go on at other engines; there the answer
// to one of them is lost.
func playMoved(f *fleet, trouble bool) (bool, error) {
	engines, err := startGenerations(f)
	if err != nil {
		return false, err
	}
	var lost atomic.Int32
	for _, e := range engines {
		e.spoil = func(e *engine, r *http.Request) spoiling {
			if trouble && r.Header.Get(fields.Continue) != "" && e.served() >= servedPerLoss && lost.Add(1) == 1 {
				f.record.note("the answer of %s to %s is lost: one of %d", e.id, r.Header.Get(fields.RequestID), e.served())
				return answerLost
			}
			return notSpoiled
		}
	}
	c := newClient()
	var wg sync.WaitGroup
	asks(f, c, &wg, asksBeside)
	for i := range draftCount {
		wg.Go(func() { generation(c, f, f.hosts[i%len(f.hosts)], draftTokens) })
	}
	time.Sleep(leaveAfter)
	leaver := busiest(engines)
	f.record.note("%s leaves with %d runs", leaver.id, leaver.active())
	if err := leaver.backend.drain(); err != nil {
		return false, err
	}
	wg.Wait()
	return workedTwice(f, engines), nil
}

// startGenerations starts a small fleet and engines that all hosts know.
func startGenerations(f *fleet) ([]*engine, error) {
	if err := startSmallFleet(f); err != nil {
		return nil, err
	}
	engines, err := startEngines(f, engineCount)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	c := newClient()
	var wg sync.WaitGroup
	asks(f, c, &wg, asksBefore)
	wg.Wait()
	return engines, nil
}

// asks sends short generations one after the other at a steady rate, from a goroutine of wg each.
func asks(f *fleet, c *http.Client, wg *sync.WaitGroup, n int) {
	wg.Go(func() {
		for i := range n {
			wg.Go(func() { generation(c, f, f.hosts[i%len(f.hosts)], askTokens) })
			time.Sleep(askPause)
		}
	})
}

// busiest returns the engine with the most runs.
func busiest(engines []*engine) *engine {
	best := engines[0]
	for _, e := range engines {
		if e.active() > best.active() {
			best = e
		}
	}
	return best
}

// workedTwice reports whether an engine still worked on a generation bothBound after another one had begun to go
// on with it.
func workedTwice(f *fleet, engines []*engine) bool {
	var all []*engineRun
	for _, e := range engines {
		all = append(all, e.runs...)
	}
	broken := false
	for _, next := range all {
		for _, before := range all {
			same := next.continued && before.request == next.request && before != next && before.begun.Before(next.begun)
			if !same {
				continue
			}
			both := max(minTime(before.ended, next.ended).Sub(next.begun), 0)
			f.record.note("%s went on at %s; %s worked on it for %v more", next.request, next.engine, before.engine, both.Round(time.Millisecond))
			broken = broken || both > bothBound
		}
	}
	return broken
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
