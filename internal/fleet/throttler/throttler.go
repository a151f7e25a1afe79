// Package throttler keeps the limits that backend servers set on the rate of requests from all hosts
// together.
package throttler

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Throttler holds the limits of all backend servers. Its exported fields are set before first use;
	// it is safe for concurrent use.
	Throttler struct {
		Log *logger.Logger

		mu     sync.Mutex
		limits map[process]*limit
	}

	// process is one process of a backend server.
	process struct {
		backend string
		started int64
	}

	// limit is the rate that a process takes.
	limit struct {
		// perSecond is the number of requests a second.
		perSecond float64
		// heard is when the newest answer that named it arrived.
		heard time.Time
	}
)

// RecordAnswer records the limit that an answer of a backend server named in the values of its field,
// none of them for no limit. sent is when its request was sent. A value that is no rate changes
// nothing; of several rates the lowest counts.
func (t *Throttler) RecordAnswer(now, sent time.Time, b *messenger.Backend, values []string) {
	perSecond, ok := parseRate(values)
	t.mu.Lock()
	defer t.mu.Unlock()
	key := process{b.Id, b.Started}
	known := t.limits[key]
	switch {
	case len(values) == 0 && known != nil && sent.After(known.heard):
		// An answer to an earlier request may be older than the limit.
		delete(t.limits, key)
		t.Log.Emit(now, logger.BackendLimited, "", logger.F("backend", b.Id), logger.F("limited", false))
	case ok && (known == nil || known.perSecond != perSecond):
		t.set(key, limit{perSecond: perSecond, heard: now})
		t.Log.Emit(now, logger.BackendLimited, "", logger.F("backend", b.Id), logger.F("limited", true), logger.F("perSecond", perSecond))
	case ok:
		known.heard = now
	}
}

// set stores a limit. The lock is held.
func (t *Throttler) set(key process, l limit) {
	if t.limits == nil {
		t.limits = make(map[process]*limit)
	}
	t.limits[key] = &l
}

// parseRate parses the values of a field that names a rate, and returns the lowest. ok is false if none
// is a finite number that is not negative.
func parseRate(values []string) (lowest float64, ok bool) {
	lowest = math.Inf(1)
	for _, field := range values {
		for text := range strings.SplitSeq(field, ",") {
			rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			// The comparison is false for NaN.
			if err == nil && rate >= 0 && rate < lowest {
				lowest = rate
			}
		}
	}
	return lowest, !math.IsInf(lowest, 1)
}
