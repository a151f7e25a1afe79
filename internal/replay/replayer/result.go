package replayer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareach/internal/replay/tracer"
	"verbenareach/internal/report/reporter"
)

type (
	// Result is what the callers of a trace saw. Offsets are from the start of the run.
	Result struct {
		Generations []Generation
		Calls       []Call
		Marks       []Mark
		Stops       []Stop
		// NotDriven describes the steps that this run could not execute.
		NotDriven []string
		// FirstTokens and Gaps are in units of reporter.Unit.
		FirstTokens *hdrhistogram.Histogram
		Gaps        *hdrhistogram.Histogram
		// Preemptions is the number of preemptions by the engines, if PreemptionsKnown.
		Preemptions      uint64
		PreemptionsKnown bool
		Took             time.Duration
	}

	// Ending is how a generation ended from its caller's view.
	Ending string

	// Generation is what a caller saw of one generation.
	Generation struct {
		Step tracer.Step
		// ID is the generation's id; empty if the caller never received it.
		ID     string
		Ending Ending
		// Cause is why the generation was not completed; Ran is that of the last refusal.
		Cause string
		Ran   string
		// Tokens is the number of tokens that advanced the stream. Doubled arrived again
		// or late, Lost were skipped, Wrong differ from the expected text.
		Tokens  int
		Doubled int
		Lost    int
		Wrong   int
		// Resumes counts how often the caller resumed the stream; Disconnects are the
		// connections that it did not close itself.
		Resumes     int
		Disconnects []Disconnect
		// Refusals counts the temporary refusals.
		Refusals int
		// FirstToken is the time from the first send to the first token; 0 if none arrived.
		FirstToken time.Duration
		// LongestGap excludes the time for which the caller was disconnected on purpose.
		LongestGap time.Duration
		Stalls     int
		StallTime  time.Duration
		// Attempts are the attempts that delivered tokens, in order.
		Attempts []Attempt
		EndedAt  time.Duration
	}

	// Attempt is an attempt at a backend server; At is the time of its first token.
	Attempt struct {
		Server string
		Epoch  uint32
		At     time.Duration
	}

	// Disconnect is the loss of a connection to an entry before the generation ended.
	Disconnect struct {
		Entry string
		At    time.Duration
	}

	// Call is what a caller saw of one call to a service.
	Call struct {
		Step tracer.Step
		// Answers are ordered by arrival.
		Answers []Answer
		// Runs is how often the service ran the call; -1 if unknown.
		Runs int
	}

	// Answer is one answer to a call.
	Answer struct {
		// Status is the HTTP status; 0 if no answer arrived.
		Status int
		// Ran is yes, no or unknown.
		Ran string
		// Code is the error code of a refusal.
		Code string
	}

	// Mark is a leave or return mark set by the run.
	Mark struct {
		Server  string
		Leaving bool
		// At is when a leave mark was accepted or a return mark was requested.
		At time.Duration
		// Err is empty if the mark was accepted.
		Err string
	}

	// Stop is a planned stop of an entry.
	Stop struct {
		Process string
		At      time.Duration
	}

	// collector collects results from several goroutines.
	collector struct {
		mu     sync.Mutex
		result Result
	}
)

// Endings of generations.
const (
	// EndedWhole means that the complete answer arrived.
	EndedWhole Ending = "whole"
	// EndedIncomplete means that the system reported that it can't continue.
	EndedIncomplete Ending = "incomplete"
	// EndedRefused means that the request was refused before it ran.
	EndedRefused Ending = "refused"
	// EndedUnknown means that the caller received no definite end.
	EndedUnknown Ending = "unknown"
)

func newCollector() *collector {
	return &collector{result: Result{FirstTokens: reporter.NewHistogram(), Gaps: reporter.NewHistogram()}}
}

func (c *collector) update(f func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// observe records a time in a histogram, clamped to its range.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	units := min(max(int64(d/reporter.Unit), 0), h.HighestTrackableValue())
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(units)
}
