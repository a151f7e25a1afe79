// Package bufferer holds the tokens of generations at an agent until their
// caller has them, so that an entry can die without loss.
package bufferer

import (
	"context"
	"sync"
	"time"
)

type (
	// Result says how an attempt ended.
	Result struct {
		// FinishReason is the engine's, stop or length; empty if the attempt failed.
		FinishReason string
		// Cause says why the attempt failed; empty if it did not.
		Cause string
		// Resumable tells whether another backend server may go on.
		Resumable bool
		// RefusedStatus is the HTTP status with which the engine refused the request
		// before it ran; 0 if it did not.
		RefusedStatus int
		// Preempted tells that the attempt gave way to others for memory.
		Preempted bool
		// CachedTokens is the part of the prompt that the engine had in its cache.
		CachedTokens uint32
	}

	// Buffer holds the tokens of one attempt from index First on. One goroutine
	// appends and at most one reads; a newer reader replaces the former.
	Buffer struct {
		// First is the index of the first token that the attempt itself made; the
		// tokens before it were delivered by former attempts and are held as well.
		First uint64

		mu sync.Mutex
		// texts holds all tokens from index 0 on.
		texts []string
		// result is set once, after which no token is appended.
		result *Result
		// reader counts the readers; only the newest gets tokens.
		reader uint64
		// detachedAt is when the last reader left; zero while one reads.
		detachedAt time.Time
		// deliveredEnd is set once an entry confirmed that its caller has the end.
		deliveredEnd bool
		// wake holds one signal for the reader.
		wake chan struct{}
	}
)

// NewBuffer returns a buffer that already holds the delivered tokens.
func NewBuffer(delivered []string) *Buffer {
	return &Buffer{
		First: uint64(len(delivered)),
		texts: append([]string(nil), delivered...),
		wake:  make(chan struct{}, 1),
	}
}

// Append adds the next token.
func (b *Buffer) Append(text string) {
	b.mu.Lock()
	b.texts = append(b.texts, text)
	b.mu.Unlock()
	b.signal()
}

// Attach makes the caller the buffer's only reader and returns its number.
func (b *Buffer) Attach() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader++
	b.detachedAt = time.Time{}
	b.signal()
	return b.reader
}

// ConfirmEnd notes that the caller has all tokens and the end.
func (b *Buffer) ConfirmEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliveredEnd = true
}

// Detach notes at now that a reader left; a replaced reader changes nothing.
func (b *Buffer) Detach(now time.Time, reader uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader == b.reader {
		b.detachedAt = now
	}
}

// Detached tells since when nobody reads, and whether the end was delivered.
func (b *Buffer) Detached() (since time.Time, deliveredEnd bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.detachedAt, b.deliveredEnd
}

// Finish ends the attempt; later calls change nothing.
func (b *Buffer) Finish(result Result) {
	b.mu.Lock()
	if b.result == nil {
		b.result = &result
	}
	b.mu.Unlock()
	b.signal()
}

// Next returns the index of the next token and the result if the attempt ended.
func (b *Buffer) Next() (next uint64, result *Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(len(b.texts)), b.result
}

// Read waits until there are tokens from index next on, or the attempt has
// ended, or the reader is replaced, or idle passes, or ctx ends. All tokens that
// are there come together. The returned slice must not be changed.
func (b *Buffer) Read(ctx context.Context, reader, next uint64, idle *time.Timer) (texts []string, result *Result, replaced bool) {
	for {
		texts, result, replaced = b.take(reader, next)
		if len(texts) > 0 || result != nil || replaced {
			return texts, result, replaced
		}
		select {
		case <-b.wake:
		case <-idle.C:
			return nil, nil, false
		case <-ctx.Done():
			return nil, nil, false
		}
	}
}

// Texts returns all tokens from index 0 on.
func (b *Buffer) Texts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.texts[:len(b.texts):len(b.texts)]
}

func (b *Buffer) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Buffer) take(reader, next uint64) (texts []string, result *Result, replaced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader != b.reader {
		// The signal may have been meant for the newer reader.
		b.signal()
		return nil, nil, true
	}
	if next < uint64(len(b.texts)) {
		texts = b.texts[next:len(b.texts):len(b.texts)]
	}
	return texts, b.result, false
}
