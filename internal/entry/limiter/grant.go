package limiter

import (
	"fmt"
	"sync/atomic"
	"time"
)

type (
	// Grant is the share of its workspace's limits that one accepted request uses.
	// Release must be called when the request ends.
	Grant struct {
		// slice is nil for a workspace without limits.
		slice *slice
		// levels are what the slice counts as used by the request.
		levels amounts
		// reserved are the expected tokens that are not generated yet.
		reserved int64
		released atomic.Bool
	}

	// RefusedError reports a request that exceeds its workspace's limits. It did not run.
	RefusedError struct {
		// Limit is the limit that was exceeded.
		Limit Limit
		// RetryAfter is the time after which a retry may succeed; 0 if it never can
		// under this contract.
		RetryAfter time.Duration
	}

	// Limit names the limit that a request was refused for, as in the contract.
	Limit string
)

// The limits of a contract, and LimitUnreachable.
const (
	LimitRequests    Limit = "requestsPerSecond"
	LimitGenerations Limit = "concurrentGenerations"
	LimitTokens      Limit = "tokensPerSecond"
	LimitInFlight    Limit = "tokensInFlight"
	// LimitUnreachable means that no home decided: it did not answer, does not accept to
	// be the home, or waits for the loans of former homes.
	LimitUnreachable Limit = "homeUnreachable"
)

var _ error = &RefusedError{}

// Error names the limit that was exceeded.
func (e *RefusedError) Error() string {
	if e.RetryAfter == 0 {
		return fmt.Sprintf("request is larger than the contract's %s", e.Limit)
	}
	if e.Limit == LimitUnreachable {
		return fmt.Sprintf("the entry that shares the contract's limits out does not answer, retry after %s", e.RetryAfter)
	}
	return fmt.Sprintf("over the contract's %s, retry after %s", e.Limit, e.RetryAfter)
}

// Release returns the levels of the request. Further calls do nothing.
func (g *Grant) Release(_ time.Time) {
	if g == nil || g.slice == nil || g.released.Swap(true) {
		return
	}
	g.slice.release(g.levels)
}

// Spend counts tokens that were generated. It is called by one goroutine at a time,
// before Release, and sends no message: tokens that were not lent become a debt, and
// the next requests of the workspace wait until it is refilled.
func (g *Grant) Spend(_ time.Time, tokens int) {
	if g == nil || g.slice == nil || tokens <= 0 {
		return
	}
	grown := max(0, int64(tokens)-g.reserved)
	g.reserved = max(0, g.reserved-int64(tokens))
	g.levels.inFlight += grown
	g.slice.add(int64(tokens), grown)
}
