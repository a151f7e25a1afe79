package replayer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenareach/internal/replay/tracer"
	"verbenareach/internal/report/reporter"
)

type (
	// Result is what callers saw of a whole trace. Offsets are from the start of the run.
	Result struct {
		Generations []Generation
		Calls       []Call
		Marks       []Mark
		Stops       []Stop
		// NotDriven are steps that this run could not bring about.
		NotDriven []string
		// FirstTokens and Gaps are in units of reporter.Unit.
		FirstTokens *hdrhistogram.Histogram
		Gaps        *hdrhistogram.Histogram
		// Preemptions is how often the engines preempted; PreemptionsKnown tells
		// whether they could be asked.
		Preemptions      uint64
		PreemptionsKnown bool
		Took             time.Duration
	}

	// Ending is how a generation ended for its caller.
	Ending string

	// Generation is what a caller saw of one generation.
	Generation struct {
		Step tracer.Step
		// ID is the generation's id; empty if the caller never learned it.
		ID     string
		Ending Ending
		// Cause says why it did not end whole, Ran is what the last refusal told.
		Cause string
		Ran   string
		// Tokens arrived in order; Doubled came again, Lost were left out, Wrong
		// differ from the expected text.
		Tokens  int
		Doubled int
		Lost    int
		Wrong   int
		// Resumes count how often the caller came back; Breaks are the connections
		// that broke on their own.
		Resumes int
		Breaks  []Break
		// Refusals count answers that asked the caller to try again.
		Refusals int
		// FirstToken is the time from the first send to the first token; 0 if none came.
		FirstToken time.Duration
		// LongestGap leaves out the time for which the caller was away.
		LongestGap time.Duration
		Stalls     int
		StallTime  time.Duration
		// Visits are the attempts that delivered, in order.
		Visits  []Visit
		EndedAt time.Duration
	}

	// Visit is an attempt at a backend server, from its first token on.
	Visit struct {
		Server string
		Epoch  uint32
		At     time.Duration
	}

	// Break is a connection to an entry that ended before the generation did.
	Break struct {
		Entry string
		At    time.Duration
	}

	// Call is what a caller saw of one call to a plain service.
	Call struct {
		Step tracer.Step
		// Answers are in the order of their arrival.
		Answers []Answer
		// Runs is how often the service ran it; -1 if it could not be asked.
		Runs int
	}

	// Answer is one answer to a call.
	Answer struct {
		// Status is 0 if no answer came.
		Status int
		// Ran is yes, no or unknown.
		Ran string
		// Code is that of a refusal.
		Code string
	}

	// Mark is a leave or return mark as it was set.
	Mark struct {
		Server  string
		Leaving bool
		// At is when a leave mark was accepted, or a return mark asked for.
		At time.Duration
		// Err is empty if it was accepted.
		Err string
	}

	// Stop is a planned stop of an entry.
	Stop struct {
		Process string
		At      time.Duration
	}

	// collector gathers results from many goroutines.
	collector struct {
		mu     sync.Mutex
		result Result
	}
)

// Endings of generations.
const (
	// EndedWhole means that the end event came.
	EndedWhole Ending = "whole"
	// EndedIncomplete means that the system said that it can't go on.
	EndedIncomplete Ending = "incomplete"
	// EndedRefused means that the request was refused before it ran.
	EndedRefused Ending = "refused"
	// EndedUnknown means that the caller could not learn what became of it.
	EndedUnknown Ending = "unknown"
)

func newCollector() *collector {
	return &collector{result: Result{FirstTokens: reporter.NewHistogram(), Gaps: reporter.NewHistogram()}}
}

func (c *collector) add(f func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.result)
}

// observe adds a time to a histogram, cut to its range.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	units := min(max(int64(d/reporter.Unit), 0), h.HighestTrackableValue())
	// The value lies within the range, so that the library refuses nothing.
	_ = h.RecordValue(units)
}
