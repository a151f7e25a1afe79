// Package bufferer buffers the tokens of generations in an agent until their
// callers have received them, so that no token is lost if an entry fails.
package bufferer

import (
	"context"
	"sync"
	"time"
)

type (
	// Result is how an attempt ended.
	Result struct {
		// FinishReason is the engine's finish reason, stop or length; empty if the
		// attempt failed.
		FinishReason string
		// Cause is why the attempt failed; empty if it did not.
		Cause string
		// Resumable is whether another backend server may continue the generation.
		Resumable bool
		// RefusedStatus is the HTTP status with which the engine refused the request
		// before it ran; 0 if the engine did not refuse it.
		RefusedStatus int
		// Preempted is whether the attempt was ended to free memory for others.
		Preempted bool
		// CachedTokens is the number of prompt tokens found in the engine's prefix
		// cache.
		CachedTokens uint32
	}

	// Buffer holds the tokens of one attempt, and those delivered by earlier
	// attempts. One goroutine appends and at most one reads; a new reader, which
	// serves another entry, replaces the previous one. It is safe for concurrent use.
	Buffer struct {
		// First is the index of the first token of this attempt; the tokens before
		// it were delivered by earlier attempts.
		First uint64

		mu sync.Mutex
		// texts holds all tokens from index 0 on.
		texts []string
		// result is set once; nil before. If a goroutine other than the appending one
		// sets it, tokens may still be appended afterwards.
		result *Result
		// newestReader is the number of the newest reader, the only one that gets
		// tokens.
		newestReader uint64
		// detachedAt is when the newest reader detached; zero while it is attached
		// and before the first one.
		detachedAt time.Time
		// endConfirmed is set once an entry has confirmed that its caller received
		// the end.
		endConfirmed bool
		// notify wakes a reader that waits; it holds at most one signal.
		notify chan struct{}
	}
)

// NewBuffer returns a buffer that already holds the delivered tokens.
func NewBuffer(delivered []string) *Buffer {
	return &Buffer{
		First:  uint64(len(delivered)),
		texts:  append([]string(nil), delivered...),
		notify: make(chan struct{}, 1),
	}
}

// Append adds the next token.
func (b *Buffer) Append(text string) {
	b.mu.Lock()
	b.texts = append(b.texts, text)
	b.mu.Unlock()
	b.signal()
}

// Attach makes the caller the buffer's only reader and returns the reader's number.
func (b *Buffer) Attach() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newestReader++
	b.detachedAt = time.Time{}
	b.signal()
	return b.newestReader
}

// ConfirmEnd records that the caller has received all tokens and the end.
func (b *Buffer) ConfirmEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endConfirmed = true
}

// Detach records that a reader detached at now; a replaced reader changes nothing.
func (b *Buffer) Detach(now time.Time, reader uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader == b.newestReader {
		b.detachedAt = now
	}
}

// Detached returns since when no reader is attached, zero while one is and before
// the first one, and whether the end was confirmed.
func (b *Buffer) Detached() (since time.Time, endConfirmed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.detachedAt, b.endConfirmed
}

// Finish sets the attempt's result; later calls change nothing.
func (b *Buffer) Finish(result Result) {
	b.mu.Lock()
	if b.result == nil {
		b.result = &result
	}
	b.mu.Unlock()
	b.signal()
}

// Next returns the index of the next token to be appended, and the result; nil while
// the attempt runs.
func (b *Buffer) Next() (next uint64, result *Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(len(b.texts)), b.result
}

// Read returns all tokens from index next on, and the result if the attempt has
// ended. It waits until there is one of these, a newer reader has replaced the
// reader, idle fires or ctx ends. The returned slice must not be modified.
func (b *Buffer) Read(ctx context.Context, reader, next uint64, idle *time.Timer) (texts []string, result *Result, replaced bool) {
	for {
		texts, result, replaced = b.poll(reader, next)
		if len(texts) > 0 || result != nil || replaced {
			return texts, result, replaced
		}
		select {
		case <-b.notify:
		case <-idle.C:
			return nil, nil, false
		case <-ctx.Done():
			return nil, nil, false
		}
	}
}

// Texts returns all tokens from index 0 on. The returned slice must not be modified.
func (b *Buffer) Texts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.texts[:len(b.texts):len(b.texts)]
}

// signal wakes the reader, or makes its next wait return at once.
func (b *Buffer) signal() {
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// poll returns what Read returns, without waiting.
func (b *Buffer) poll(reader, next uint64) (texts []string, result *Result, replaced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader != b.newestReader {
		// This reader may have consumed a signal meant for the newer one.
		b.signal()
		return nil, nil, true
	}
	if next < uint64(len(b.texts)) {
		texts = b.texts[next:len(b.texts):len(b.texts)]
	}
	return texts, b.result, false
}
