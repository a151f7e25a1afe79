// Package sequencer keeps the tokens of one generation in order: each index
// once, and only from the attempt that is current.
package sequencer

import "fmt"

type (
	// Generation is the aggregate that decides which tokens belong to one
	// generation. It is immutable: With methods and Accept return a changed copy.
	Generation struct {
		// ID never changes over all attempts.
		ID string
		// Epoch numbers the attempts from 1 on; only the current one may add tokens.
		Epoch uint32
		// Next is the index that the next token must have.
		Next uint64
	}

	// GapError reports tokens that start beyond the next index.
	GapError struct {
		ID          string
		Next, First uint64
	}
)

var _ error = &GapError{}

// Error says which indexes are missing.
func (e *GapError) Error() string {
	return fmt.Sprintf("generation %s: tokens %d to %d are missing", e.ID, e.Next, e.First-1)
}

// Accept takes n tokens from index first on of an attempt. It returns the
// generation after them and how many tokens at the front to leave out: all of
// them when the epoch is not current, those delivered before when it is. It
// fails with a GapError when tokens are missing.
func (g Generation) Accept(epoch uint32, first uint64, n int) (after Generation, skip int, err error) {
	if epoch != g.Epoch {
		return g, n, nil
	}
	if first > g.Next {
		return g, n, &GapError{ID: g.ID, Next: g.Next, First: first}
	}
	known := g.Next - first
	if known >= uint64(n) {
		return g, n, nil
	}
	after = g
	after.Next = first + uint64(n)
	return after, int(known), nil
}

// WithNextEpoch returns the generation as its next attempt sees it.
func (g Generation) WithNextEpoch() Generation {
	g.Epoch++
	return g
}
