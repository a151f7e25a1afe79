package pacer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// Collector measures the pace of engines from the streams of one host. The zero value is
	// ready for use; it is safe for concurrent use.
	Collector struct {
		mu      sync.Mutex
		engines map[string]*measured
		// newest is when the newest pause of any engine ended; zero before the first one.
		newest time.Time
		// stoodUntil is the end of the last silence of all engines in which the host itself may have
		// stood still.
		stoodUntil time.Time
	}

	// measured is what one host has measured of an engine process.
	measured struct {
		started int64
		// seen is when the newest pause was measured.
		seen time.Time
		// since is when the measurement began; zero while it has no sample.
		since time.Time
		// tokens is the number of tokens so far, took the time for them.
		tokens  int
		took    time.Duration
		longest time.Duration
		// times holds the times for a token of the first maxSamples pauses.
		times []time.Duration
		// last is the newest measurement that is complete, made at lastAt; nil for none. taken is set once
		// it was returned.
		last   *messenger.EnginePace
		lastAt time.Time
		taken  bool
	}
)

const (
	// MaxAge is the age from which on a measurement is forgotten.
	MaxAge = 30 * time.Second
	// interval is the least time for which pauses are measured, minPauses the least number of them.
	// The first measurement of a process takes only firstInterval.
	interval      = time.Second
	firstInterval = 250 * time.Millisecond
	minPauses     = 8
	// hostSilence is the silence of all engines from which on the host itself is taken to have stood
	// still, if it had streams of at least minSilent engines.
	hostSilence = 250 * time.Millisecond
	minSilent   = 3
	// freshAge is the age below which a measurement counts as new.
	freshAge = time.Second
	// maxSamples bounds the pauses that are kept of one measurement.
	maxSamples = 128
	// steadyPart is the part of the pauses, one of so many, that are shorter than the undisturbed time.
	// A few are too short: events that were held up arrive together.
	steadyPart = 8
)

// Observe records that an engine took gap for the next tokens of a stream, the last of which came now. A
// pause in which the host stood still is left out.
func (c *Collector) Observe(now time.Time, b *messenger.Backend, gap time.Duration, tokens int) {
	if gap <= 0 || tokens <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.engines == nil {
		c.engines = make(map[string]*measured)
	}
	m := c.engines[b.Id]
	if m == nil || m.started != b.Started {
		c.forget(now)
		m = &measured{started: b.Started}
		c.engines[b.Id] = m
	}
	c.noticeSilence(now)
	m.seen = now
	if now.Add(-gap).Before(c.stoodUntil) {
		return
	}
	if m.since.IsZero() {
		m.since = now.Add(-gap)
	}
	m.tokens += tokens
	m.took += gap
	m.longest = max(m.longest, gap)
	if len(m.times) < maxSamples {
		m.times = append(m.times, gap/time.Duration(tokens))
	}
	atLeast := interval
	if m.last == nil {
		atLeast = firstInterval
	}
	if now.Sub(m.since) >= atLeast && len(m.times) >= minPauses {
		m.finish(now, b.Id)
	}
}

// noticeSilence records the silence of all engines that ends now, if the host may have stood still in it.
func (c *Collector) noticeSilence(now time.Time) {
	before := c.newest
	c.newest = now
	if before.IsZero() || now.Sub(before) < hostSilence {
		return
	}
	silent := 0
	for _, m := range c.engines {
		if before.Sub(m.seen) < hostSilence {
			silent++
		}
	}
	if silent >= minSilent {
		c.stoodUntil = now
	}
}

// forget drops the engines without pauses for MaxAge.
func (c *Collector) forget(now time.Time) {
	maps.DeleteFunc(c.engines, func(_ string, m *measured) bool { return now.Sub(m.seen) >= MaxAge })
}

// finish completes a measurement and begins the next one.
func (m *measured) finish(now time.Time, id string) {
	slices.Sort(m.times)
	m.last = &messenger.EnginePace{
		Backend: id, Started: m.started,
		TokenUs: (m.took / time.Duration(m.tokens)).Microseconds(), SteadyUs: m.times[len(m.times)/steadyPart].Microseconds(),
		LongestGapUs: m.longest.Microseconds(),
	}
	m.lastAt, m.taken = now, false
	m.since, m.tokens, m.took, m.longest, m.times = time.Time{}, 0, 0, 0, m.times[:0]
}

// Take returns the newest measurement of each engine, with its age, unless it was returned before.
func (c *Collector) Take(now time.Time) []*messenger.EnginePace {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list(now, func(m *measured) bool { return !m.taken })
}

// Recent returns the newest measurement of each engine, with its age, for a decider that knows none. Take
// doesn't return these again.
func (c *Collector) Recent(now time.Time) []*messenger.EnginePace {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	list := c.list(now, func(*measured) bool { return true })
	for _, p := range list {
		// Nobody knows any more what the engine read meanwhile.
		p.AgeMs = max(p.AgeMs, 1)
	}
	return list
}

// list returns the newest measurement of each engine that is included and not older than MaxAge, and
// marks them as taken. The lock is held.
func (c *Collector) list(now time.Time, includes func(m *measured) bool) (list []*messenger.EnginePace) {
	for _, m := range c.engines {
		age := now.Sub(m.lastAt)
		if m.last == nil || age >= MaxAge || !includes(m) {
			continue
		}
		m.taken = true
		p := proto.CloneOf(m.last)
		if age >= freshAge {
			p.AgeMs = age.Milliseconds()
		}
		list = append(list, p)
	}
	return list
}
