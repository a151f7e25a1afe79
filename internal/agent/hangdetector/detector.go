// Package hangdetector detects a model engine that is reachable but makes no tokens.
//
// A single stream may have no tokens for long without a fault, during prefill or
// after a preemption by the engine. But an engine that decodes makes tokens for some
// stream at each step, so no tokens on any stream mean a hang.
package hangdetector

import (
	"sync"
	"time"
)

const (
	// DefaultTimeout is how long all decoding streams may be without tokens. It
	// spans many steps and is longer than the prefill of a long prompt between
	// them.
	DefaultTimeout = 5 * time.Second

	// minCooldown is the cooldown after the first hang, maxCooldown the longest one.
	minCooldown = 5 * time.Second
	maxCooldown = 80 * time.Second
)

type (
	// Detector watches one engine. Its exported field is set before first use.
	Detector struct {
		// Timeout is how long decoding streams may be without tokens; 0 means
		// DefaultTimeout.
		Timeout time.Duration

		mu sync.Mutex
		// streams holds the running streams by id.
		streams map[string]stream
		// lastToken is when the engine made its last token.
		lastToken time.Time
		// suspect is set by a hang and cleared by the next token. While it is set, a
		// stream without a first token counts as hung too.
		suspect bool
		// cooldown is how long the engine gets no work after the last hang. It
		// doubles with each consecutive hang; a token resets it to 0.
		cooldown time.Duration
		// cooldownUntil is when the engine may get work again.
		cooldownUntil time.Time
	}

	// stream is one running stream.
	stream struct {
		beganAt time.Time
		// decoding is true from its first token on.
		decoding bool
	}
)

// Begin records that a stream began at now.
func (d *Detector) Begin(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.streams == nil {
		d.streams = make(map[string]stream)
	}
	d.streams[id] = stream{beganAt: now}
}

// End records that a stream has ended.
func (d *Detector) End(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, id)
}

// Hung reports whether the engine hangs at now. If so, it starts a cooldown, and
// the caller must end all streams. During a cooldown it returns false.
func (d *Detector) Hung(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.cooldownUntil) || !d.stalled(now) {
		return false
	}
	d.suspect = true
	d.cooldown = min(max(2*d.cooldown, minCooldown), maxCooldown)
	d.cooldownUntil = now.Add(d.cooldown)
	return true
}

// Available reports whether the engine may get work at now: no cooldown is running.
func (d *Detector) Available(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.cooldownUntil)
}

// RecordToken records that a stream got a token at now. Begin must have been called
// for the stream.
func (d *Detector) RecordToken(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastToken = now
	d.suspect = false
	d.cooldown = 0
	s := d.streams[id]
	if !s.decoding {
		s.decoding = true
		d.streams[id] = s
	}
}

// stalled reports whether the engine has made no token for longer than the timeout
// although a stream decodes or, after a hang, waits as long for its first token.
func (d *Detector) stalled(now time.Time) bool {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if now.Sub(d.lastToken) <= timeout {
		return false
	}
	for _, s := range d.streams {
		if s.decoding || d.suspect && now.Sub(s.beganAt) > timeout {
			return true
		}
	}
	return false
}
