package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds.
const (
	minLatency        = 1
	maxLatency        = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Result holds what the callers of one or more runs saw.
type Result struct {
	// Preemptions counts preemptions by the engine and by the policy;
	// EnginePreemptions counts only those by the engine.
	Preemptions       int
	EnginePreemptions int
	// Stalled is the sum of the parts of gaps between tokens that exceed 250 ms.
	Stalled time.Duration
	// Tokens counts the tokens generated while requests arrived.
	Tokens int
	// Unfinished counts the generations that had not ended when the run ended.
	Unfinished int
	// First and Between hold the latencies to the first token and between
	// tokens, in microseconds.
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	// Time is the time for which requests arrived in each run.
	Time time.Duration
	// Runs is the number of runs.
	Runs int
}

func newResult(loadTime time.Duration) *Result {
	return &Result{
		Time:    loadTime,
		First:   hdrhistogram.New(minLatency, maxLatency, significantDigits),
		Between: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		Runs:    1,
	}
}

// Throughput returns the tokens per second of all engines while requests arrived.
func (r *Result) Throughput() float64 {
	return float64(r.Tokens) / r.Time.Seconds() / float64(r.Runs)
}

// merge adds the result of another run.
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

// recordToken records a token of a job at now.
func (r *Result) recordToken(now time.Time, j *job) {
	if now.Sub(start) <= r.Time {
		r.Tokens++
	}
	if j.lastTokenAt.IsZero() {
		recordLatency(r.First, now.Sub(start)-j.At)
		return
	}
	gap := now.Sub(j.lastTokenAt)
	recordLatency(r.Between, gap)
	r.Stalled += max(gap-stallAfter, 0)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), minLatency), maxLatency)
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(v)
}
