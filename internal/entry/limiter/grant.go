package limiter

import (
	"fmt"
	"sync/atomic"
	"time"
)

type (
	// Grant is one accepted request's part of its workspace's limits. Release has
	// to be called once the request is over.
	Grant struct {
		// slice is nil for a workspace without limits.
		slice *slice
		// levels are what the slice counts for the request.
		levels amounts
		// reserved are tokens held in flight that the generation has not grown to.
		reserved int64
		released atomic.Bool
	}

	// RefusedError tells that a request is over its workspace's limits. It did not run.
	RefusedError struct {
		// Limit is the limit that was met.
		Limit Limit
		// RetryAfter is when a repeat has a chance; 0 when it never has under this contract.
		RetryAfter time.Duration
	}

	// Limit names what a request was refused for.
	Limit string
)

// Limits of a contract, and what stands for none of them.
const (
	LimitRequests    Limit = "requestsPerSecond"
	LimitGenerations Limit = "concurrentGenerations"
	LimitTokens      Limit = "tokensPerSecond"
	LimitInFlight    Limit = "tokensInFlight"
	// LimitUnreachable tells that the home entry did not answer.
	LimitUnreachable Limit = "homeUnreachable"
)

var _ error = &RefusedError{}

// Error says which limit was met.
func (e *RefusedError) Error() string {
	if e.RetryAfter == 0 {
		return fmt.Sprintf("request is larger than the contract's %s", e.Limit)
	}
	if e.Limit == LimitUnreachable {
		return fmt.Sprintf("the entry that shares the contract's limits out does not answer, retry after %s", e.RetryAfter)
	}
	return fmt.Sprintf("over the contract's %s, retry after %s", e.Limit, e.RetryAfter)
}

// Release gives the levels of the request back. Further calls do nothing.
func (g *Grant) Release(_ time.Time) {
	if g == nil || g.slice == nil || g.released.Swap(true) {
		return
	}
	g.slice.release(g.levels)
}

// Spend counts tokens that the generation grew by. It is called by one goroutine
// at a time, before Release, and costs no message: what was not lent becomes a debt that the
// next requests of the workspace wait for.
func (g *Grant) Spend(_ time.Time, tokens int) {
	if g == nil || g.slice == nil || tokens <= 0 {
		return
	}
	grown := max(0, int64(tokens)-g.reserved)
	g.reserved = max(0, g.reserved-int64(tokens))
	g.levels.inFlight += grown
	g.slice.add(int64(tokens), grown)
}
