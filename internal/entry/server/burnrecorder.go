package server

import (
	"errors"
	"net/http"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

// burnRecorder records one generation, as its caller sees it, for the burn report (see
// package reporter).
type burnRecorder struct {
	reporter *reporter.Reporter
	contract registrar.Contract
	arrived  time.Time
	key      reporter.Key
	// stream is nil until the model is known; a resume learns it from the agent.
	stream *reporter.Stream
	// resumed is true if the caller had a part of the generation before.
	resumed bool
	// epoch is the epoch of the last admitted attempt; 0 before the first one.
	epoch uint32
}

// recordGeneration starts to record a generation whose request arrived at now.
func (e *Entry) recordGeneration(now time.Time, contract registrar.Contract, start *messenger.GenerateStart) *burnRecorder {
	b := &burnRecorder{reporter: e.Reporter, contract: contract, arrived: now}
	b.open(start)
	return b
}

// recordResume starts to record the rest of a generation whose caller resumed it at now.
func (e *Entry) recordResume(now time.Time, contract registrar.Contract) *burnRecorder {
	return &burnRecorder{reporter: e.Reporter, contract: contract, arrived: now, resumed: true}
}

// countCall counts a call to a plain service that arrived at now and ended at ended with
// err. Conflicts are faults of the caller and not counted.
func (e *Entry) countCall(now, ended time.Time, contract registrar.Contract, service string, err error) {
	key := reporter.ServiceKey(contract.Workspace, service)
	var notRun *booker.NotRunError
	var conflict *booker.ConflictError
	switch {
	case errors.As(err, &conflict):
		return
	case errors.As(err, &notRun):
		e.Reporter.Refused(ended, key, reporter.RefusedRoom)
	default:
		// Contracts have no targets for calls: their times are reported, but can't miss
		// any target.
		e.Reporter.Called(ended, key, registrar.Targets{}, ended.Sub(now), err == nil)
	}
}

// countRefusal counts a request that was refused before it ran, except for faults of the
// caller.
func (e *Entry) countRefusal(now time.Time, key reporter.Key, refusal *RefusalError) {
	switch {
	case refusal.Ran != messenger.Ran_RAN_NO:
	case refusal.Status == http.StatusTooManyRequests:
		e.Reporter.Refused(now, key, reporter.RefusedLimit)
	case refusal.Status >= http.StatusInternalServerError:
		e.Reporter.Refused(now, key, reporter.RefusedRoom)
	}
}

// failed counts a generation that was refused or not completed. It is not called when the
// caller is gone, as the caller may come back.
func (b *burnRecorder) failed(e *Entry, now time.Time, refusal *RefusalError) {
	if refusal.Ran == messenger.Ran_RAN_NO {
		e.countRefusal(now, b.key, refusal)
		return
	}
	if refusal.Status >= http.StatusInternalServerError {
		b.stream.End(now, false)
	}
}

// open starts the recording once the model is known.
func (b *burnRecorder) open(start *messenger.GenerateStart) {
	if b.stream != nil || start == nil {
		return
	}
	name := start.GetModel()
	if start.GetAdapter() != "" {
		name += "/" + start.GetAdapter()
	}
	b.key = reporter.Key{Workspace: b.contract.Workspace, Model: name}
	if b.resumed {
		b.stream = b.reporter.Resume(b.arrived, b.key, b.contract.Targets)
		return
	}
	b.stream = b.reporter.Open(b.arrived, b.key, b.contract.Targets)
}

// wrap returns a sink that records what it passes to sink. Token times are recorded only
// for a stream. Each further attempt with a new epoch counts as a preemption, whatever
// interrupted the one before.
func (b *burnRecorder) wrap(sink relayer.Sink, streamed bool) relayer.Sink {
	return relayer.Sink{
		Admitted: func(c sequencer.Cursor, start *messenger.GenerateStart) error {
			b.open(start)
			if b.epoch != 0 && c.Epoch > b.epoch {
				b.stream.Preempted(time.Now())
			}
			b.epoch = c.Epoch
			return sink.Admitted(c, start)
		},
		Tokens: func(first uint64, texts []string) error {
			if streamed {
				b.stream.Tokens(time.Now(), len(texts))
			}
			return sink.Tokens(first, texts)
		},
		End: func(reason string) error {
			b.stream.End(time.Now(), true)
			return sink.End(reason)
		},
	}
}
