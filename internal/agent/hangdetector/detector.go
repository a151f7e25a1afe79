// Package hangdetector notices a model engine that is there but makes no tokens.
//
// A single stream may rightly be silent for long: its prompt is computed, or the
// engine has preempted it. But an engine that decodes makes tokens for some
// stream at each step, so silence of all streams together tells a hang.
package hangdetector

import (
	"sync"
	"time"
)

const (
	// DefaultTimeout is how long all decoding streams may be silent; it is many
	// steps and longer than the computing of a long prompt in between.
	DefaultTimeout = 5 * time.Second

	firstPause = 5 * time.Second
	maxPause   = 80 * time.Second
)

type (
	// Detector watches one engine. Its exported field is set before first use.
	Detector struct {
		// Timeout is 0 for DefaultTimeout.
		Timeout time.Duration

		mu sync.Mutex
		// streams holds the running streams.
		streams map[string]stream
		// lastToken is when the engine made its last token.
		lastToken time.Time
		// suspect is set by a hang and cleared by the next token. While it is set, a
		// stream without a first token tells a hang too.
		suspect bool
		// pause is how long the engine gets no work after the last hang; it doubles
		// with each hang in a row.
		pause time.Duration
		// closedUntil is when the engine may get work again.
		closedUntil time.Time
	}

	// stream is one running stream.
	stream struct {
		beganAt time.Time
		// decoding is true from its first token on.
		decoding bool
	}
)

// Begin notes at now that a stream was asked for.
func (d *Detector) Begin(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.streams == nil {
		d.streams = make(map[string]stream)
	}
	d.streams[id] = stream{beganAt: now}
}

// End notes that a stream has ended.
func (d *Detector) End(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, id)
}

// Hung tells at now whether the engine hangs. It is then closed for a while, and
// all its streams are to be ended.
func (d *Detector) Hung(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.closedUntil) || !d.silent(now) {
		return false
	}
	d.suspect = true
	d.pause = min(max(2*d.pause, firstPause), maxPause)
	d.closedUntil = now.Add(d.pause)
	return true
}

// Open tells at now whether the engine may get work.
func (d *Detector) Open(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.closedUntil)
}

// Token notes at now that a stream got a token.
func (d *Detector) Token(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastToken = now
	d.suspect = false
	d.pause = 0
	s := d.streams[id]
	if !s.decoding {
		s.decoding = true
		d.streams[id] = s
	}
}

// silent tells whether streams wait that ought to have had a token by now.
func (d *Detector) silent(now time.Time) bool {
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
