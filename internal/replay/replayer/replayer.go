// Package replayer runs a trace against a system: it acts as callers and operators,
// injects the faults, and records what the callers saw.
package replayer

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/replay/tracer"
)

type (
	// Replayer runs one trace once. Its exported fields must be set before Run.
	Replayer struct {
		Trace tracer.Trace
		// Entries are the addresses of the trace's entries, in its order.
		Entries []string
		// RunID distinguishes references and idempotency keys from those of other runs.
		RunID string
		// Put puts the contracts of the trace in force and waits until they are.
		Put func(ctx context.Context) error
		// Mark sets a leave or return mark; nil if not supported.
		Mark func(ctx context.Context, server string, leaving bool) error
		// Fault injects a fault; nil if not supported.
		Fault func(ctx context.Context, f tracer.Fault) error
		// Stop begins the planned stop of an entry; nil if not supported.
		Stop func(entry string) error
		// Runs returns how often a booking ran, over all backend servers of the service;
		// nil if not supported.
		Runs func(ctx context.Context, path, reference string) (int, error)
		// Preemptions returns the preemptions of all engines since they started; nil if
		// not supported.
		Preemptions func(ctx context.Context) (uint64, error)
		// Progress is called after each request that ended; nil for no calls.
		Progress func(ended, total int)

		client    *http.Client
		collected *collector
		started   time.Time
		// roundRobin counts requests: the balancer sends each one to the next entry.
		roundRobin atomic.Uint64
		// unhealthy holds the indexes of the entries that the balancer skips.
		unhealthy sync.Map
		ended     atomic.Int64
	}

	// NotDrivenError reports that a run has no means to execute a step.
	NotDrivenError struct {
		What string
	}
)

const (
	// healthTimeout bounds the balancer's health check of an entry.
	healthTimeout = time.Second
	// healthInterval is the time between two health checks of the balancer.
	healthInterval = 250 * time.Millisecond
	readyLimit     = 60 * time.Second
	// finishLimit bounds how long a run waits for requests after its last step.
	finishLimit = 10 * time.Minute
	// idlePerHost is enough idle connections for all callers of a busy trace.
	idlePerHost = 256
)

var _ error = &NotDrivenError{}

// Error names what could not be executed.
func (e *NotDrivenError) Error() string {
	return e.What + " can't be brought about in this run"
}

// Run runs the trace and returns what the callers saw. It returns an error only if
// the trace could not be run; failures of the system are in the result.
func (r *Replayer) Run(ctx context.Context) (Result, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost}
	defer transport.CloseIdleConnections()
	r.client = &http.Client{Transport: transport}
	r.collected = newCollector()
	if err := r.awaitEntries(ctx); err != nil {
		return Result{}, err
	}
	if err := r.Put(ctx); err != nil {
		return Result{}, eris.Wrap(err, "put the contracts")
	}
	before, known := r.preemptions(ctx)
	watchCtx, stopWatching := context.WithCancel(ctx)
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		r.watchHealth(watchCtx)
	}()
	r.started = time.Now()
	err := r.runSteps(ctx)
	stopWatching()
	<-watchDone
	if err != nil {
		return Result{}, err
	}
	result := r.collected.result
	result.Took = r.elapsed()
	r.queryRuns(ctx, result.Calls)
	after, stillKnown := r.preemptions(ctx)
	result.PreemptionsKnown = known && stillKnown && after >= before
	if result.PreemptionsKnown {
		result.Preemptions = after - before
	}
	return result, nil
}

// Started returns when the run began.
func (r *Replayer) Started() time.Time {
	return r.started
}

// runSteps starts each step at its time and returns once all requests have ended.
func (r *Replayer) runSteps(ctx context.Context) error {
	requests := 0
	for _, s := range r.Trace.Steps {
		if s.Generate != nil || s.Call != nil {
			requests++
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range r.Trace.Steps {
		if err := sleep(ctx, time.Until(r.started.Add(time.Duration(s.At)))); err != nil {
			cancel()
			group.Wait()
			return err
		}
		group.Go(func() {
			r.runStep(ctx, s)
			if (s.Generate != nil || s.Call != nil) && r.Progress != nil {
				r.Progress(int(r.ended.Add(1)), requests)
			}
		})
	}
	giveUp := time.AfterFunc(finishLimit, cancel)
	defer giveUp.Stop()
	group.Wait()
	return eris.Wrapf(ctx.Err(), "requests still ran %s after the last step", finishLimit)
}

// runStep executes one step and records its result.
func (r *Replayer) runStep(ctx context.Context, s tracer.Step) {
	switch {
	case s.Generate != nil:
		c := &generationCaller{replayer: r, step: s, generate: *s.Generate}
		g := c.run(ctx)
		r.collected.update(func(res *Result) { res.Generations = append(res.Generations, g) })
	case s.Call != nil:
		call := r.call(ctx, s)
		r.collected.update(func(res *Result) { res.Calls = append(res.Calls, call) })
	case s.Mark != nil:
		r.mark(ctx, s)
	case s.Fault != nil:
		err := error(&NotDrivenError{What: string(s.Fault.Kind) + " of " + s.Fault.Server})
		if r.Fault != nil {
			err = r.Fault(ctx, *s.Fault)
		}
		r.recordNotDriven(s, err)
	case s.Stop != nil:
		r.stop(s)
	}
}

func (r *Replayer) mark(ctx context.Context, s tracer.Step) {
	if r.Mark == nil {
		r.recordNotDriven(s, &NotDrivenError{What: "the mark of " + s.Mark.Server})
		return
	}
	m := Mark{Server: s.Mark.Server, Leaving: s.Mark.Leaving, At: r.elapsed()}
	if err := r.Mark(ctx, s.Mark.Server, s.Mark.Leaving); err != nil {
		m.Err = err.Error()
	}
	if s.Mark.Leaving {
		// A leave mark binds from its acceptance; a return may take effect from its request.
		m.At = r.elapsed()
	}
	r.collected.update(func(res *Result) { res.Marks = append(res.Marks, m) })
}

func (r *Replayer) recordNotDriven(s tracer.Step, err error) {
	if err != nil {
		r.collected.update(func(res *Result) {
			res.NotDriven = append(res.NotDriven, fmt.Sprintf("line %d: %v", s.Line, err))
		})
	}
}

func (r *Replayer) stop(s tracer.Step) {
	if r.Stop == nil {
		r.recordNotDriven(s, &NotDrivenError{What: "the stop of " + s.Stop.Process})
		return
	}
	at := r.elapsed()
	if err := r.Stop(s.Stop.Process); err != nil {
		r.recordNotDriven(s, err)
		return
	}
	r.collected.update(func(res *Result) { res.Stops = append(res.Stops, Stop{Process: s.Stop.Process, At: at}) })
}

// elapsed returns the time since the start of the run.
func (r *Replayer) elapsed() time.Duration {
	return time.Since(r.started)
}

// awaitEntries waits until each entry is healthy.
func (r *Replayer) awaitEntries(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for i, address := range r.Entries {
		for !r.healthy(ctx, address) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s at %s is not ready", r.Trace.System.Entries[i].Name, address)
			}
			if err := sleep(ctx, healthInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Replayer) healthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// watchHealth updates unhealthy until ctx ends.
func (r *Replayer) watchHealth(ctx context.Context) {
	for sleep(ctx, healthInterval) == nil {
		for i, address := range r.Entries {
			if r.healthy(ctx, address) {
				r.unhealthy.Delete(i)
			} else {
				r.unhealthy.Store(i, true)
			}
		}
	}
}

// nextEntry returns the entry to which the balancer sends the next request. It avoids
// the entry avoid if another one is healthy.
func (r *Replayer) nextEntry(avoid int) int {
	for range len(r.Entries) {
		i := int(r.roundRobin.Add(1) % uint64(len(r.Entries)))
		if _, out := r.unhealthy.Load(i); !out && i != avoid {
			return i
		}
	}
	return int(r.roundRobin.Add(1) % uint64(len(r.Entries)))
}

func (r *Replayer) preemptions(ctx context.Context) (uint64, bool) {
	if r.Preemptions == nil {
		return 0, false
	}
	n, err := r.Preemptions(ctx)
	return n, err == nil
}

// queryRuns sets how often each booking ran, or -1 if that is unknown.
func (r *Replayer) queryRuns(ctx context.Context, calls []Call) {
	for i := range calls {
		c := calls[i].Step.Call
		calls[i].Runs = -1
		if r.Runs == nil || !c.IsBooking() {
			continue
		}
		if n, err := r.Runs(ctx, "/"+strings.TrimPrefix(c.Path, "/"), r.reference(*c)); err == nil {
			calls[i].Runs = n
		}
	}
}

// reference returns a booking's reference in this run.
func (r *Replayer) reference(c tracer.Call) string {
	return c.Reference + "-" + r.RunID
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
