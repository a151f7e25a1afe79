package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds.
const (
	leastLatency = 1
	mostLatency  = int64(time.Hour / time.Microsecond)
	digits       = 3
)

// Result is what the callers of one or more runs saw.
type Result struct {
	// Preemptions counts generations that lost their memory, whether the
	// engine took it or the policy did; EnginePreemptions only the former.
	Preemptions       int
	EnginePreemptions int
	// Stalled sums the time beyond 250 ms without a token within generations.
	Stalled time.Duration
	// Tokens counts the tokens until the last arrival.
	Tokens int
	// Unfinished counts the generations that did not end in time.
	Unfinished int
	// First and Between hold the latencies to the first token and between
	// tokens, in microseconds.
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	// Time is how long requests arrived in each run.
	Time time.Duration
	// Runs is the number of runs.
	Runs int
}

func newResult(loadTime time.Duration) *Result {
	return &Result{
		Time:    loadTime,
		First:   hdrhistogram.New(leastLatency, mostLatency, digits),
		Between: hdrhistogram.New(leastLatency, mostLatency, digits),
		Runs:    1,
	}
}

// Throughput returns the tokens a second over all engines, until the last
// arrival.
func (r *Result) Throughput() float64 {
	return float64(r.Tokens) / r.Time.Seconds() / float64(r.Runs)
}

// merge adds another run.
func (r *Result) merge(other *Result) {
	r.Preemptions += other.Preemptions
	r.EnginePreemptions += other.EnginePreemptions
	r.Stalled += other.Stalled
	r.Tokens += other.Tokens
	r.Unfinished += other.Unfinished
	r.First.Merge(other.First)
	r.Between.Merge(other.Between)
	r.Runs += other.Runs
}

// token records a token of a job at now.
func (r *Result) token(now time.Time, j *job) {
	if now.Sub(start) <= r.Time {
		r.Tokens++
	}
	if j.last.IsZero() {
		record(r.First, now.Sub(start)-j.At)
		return
	}
	gap := now.Sub(j.last)
	record(r.Between, gap)
	r.Stalled += max(gap-stallAfter, 0)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), leastLatency), mostLatency)
	// A value within the range is always taken.
	_ = h.RecordValue(v)
}
