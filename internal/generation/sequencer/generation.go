// Package sequencer keeps the tokens of one generation in order: each index once,
// and only from the current attempt.
package sequencer

import "fmt"

type (
	// Generation decides which tokens to accept for one generation. It is immutable:
	// Accept and WithNextEpoch return a changed copy.
	Generation struct {
		// ID is the same for all attempts.
		ID string
		// Epoch numbers the attempts from 1 on; only the current one may add tokens.
		Epoch uint32
		// Next is the index that the next token must have.
		Next uint64
	}

	// GapError reports tokens that start beyond the next index.
	GapError struct {
		ID string
		// Next is the index that the next token must have, First that of the first token
		// received.
		Next, First uint64
	}
)

var _ error = &GapError{}

// Error returns a message with the missing indexes.
func (e *GapError) Error() string {
	return fmt.Sprintf("generation %s: tokens %d to %d are missing", e.ID, e.Next, e.First-1)
}

// Accept accepts n tokens of the attempt epoch, starting at index first. It returns
// the generation after them and the number of leading tokens to skip: all if epoch
// isn't the current one, else those accepted before. If tokens before first are missing,
// it accepts none and returns a GapError.
func (g Generation) Accept(epoch uint32, first uint64, n int) (after Generation, skip int, err error) {
	if epoch != g.Epoch {
		return g, n, nil
	}
	if first > g.Next {
		return g, n, &GapError{ID: g.ID, Next: g.Next, First: first}
	}
	accepted := g.Next - first
	if accepted >= uint64(n) {
		return g, n, nil
	}
	after = g
	after.Next = first + uint64(n)
	return after, int(accepted), nil
}

// WithNextEpoch returns the generation for its next attempt.
func (g Generation) WithNextEpoch() Generation {
	g.Epoch++
	return g
}
