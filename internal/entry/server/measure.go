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

// measure counts one generation for the burn report, as its caller sees it.
type measure struct {
	reporter *reporter.Reporter
	contract registrar.Contract
	arrived  time.Time
	key      reporter.Key
	// stream is nil until the model is known, as at a resume.
	stream *reporter.Stream
	// resumed tells that the caller had a part of the generation before.
	resumed bool
	// epoch is that of the attempt that delivers.
	epoch uint32
}

// measureGeneration starts to count a generation whose request arrived at now.
func (e *Entry) measureGeneration(now time.Time, contract registrar.Contract, start *messenger.GenerateStart) *measure {
	m := &measure{reporter: e.Reporter, contract: contract, arrived: now}
	m.open(start)
	return m
}

// measureResume starts to count the rest of a generation whose caller came back at now.
func (e *Entry) measureResume(now time.Time, contract registrar.Contract) *measure {
	return &measure{reporter: e.Reporter, contract: contract, arrived: now, resumed: true}
}

// countCall counts a call to a plain service that arrived at now and ended at ended.
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
		// Contracts have no target for calls: the times are told, but burn nothing.
		e.Reporter.Called(ended, key, registrar.Targets{}, ended.Sub(now), err == nil)
	}
}

// countRefusal counts a request that was refused before it ran, unless its caller is at fault.
func (e *Entry) countRefusal(now time.Time, key reporter.Key, refusal *RefusalError) {
	switch {
	case refusal.Ran != messenger.Ran_RAN_NO:
	case refusal.Status == http.StatusTooManyRequests:
		e.Reporter.Refused(now, key, reporter.RefusedLimit)
	case refusal.Status >= http.StatusInternalServerError:
		e.Reporter.Refused(now, key, reporter.RefusedRoom)
	}
}

// failed counts the end of a generation that the caller did not get whole. A
// caller that went away may come back, so nothing is counted for it.
func (m *measure) failed(e *Entry, now time.Time, refusal *RefusalError) {
	if refusal.Ran == messenger.Ran_RAN_NO {
		e.countRefusal(now, m.key, refusal)
		return
	}
	if refusal.Status >= http.StatusInternalServerError {
		m.stream.End(now, false)
	}
}

// open starts the count once the model is known.
func (m *measure) open(start *messenger.GenerateStart) {
	if m.stream != nil || start == nil {
		return
	}
	name := start.GetModel()
	if start.GetAdapter() != "" {
		name += "/" + start.GetAdapter()
	}
	m.key = reporter.Key{Workspace: m.contract.Workspace, Model: name}
	if m.resumed {
		m.stream = m.reporter.Resume(m.arrived, m.key, m.contract.Targets)
		return
	}
	m.stream = m.reporter.Open(m.arrived, m.key, m.contract.Targets)
}

// watch returns a sink that counts what passes to sink. Tokens of an answer in
// one piece have no times of their own.
func (m *measure) watch(sink relayer.Sink, streamed bool) relayer.Sink {
	return relayer.Sink{
		Moved: func(c sequencer.Cursor, start *messenger.GenerateStart) error {
			m.open(start)
			if m.epoch != 0 && c.Epoch > m.epoch {
				m.stream.Preempted(time.Now())
			}
			m.epoch = c.Epoch
			return sink.Moved(c, start)
		},
		Tokens: func(first uint64, texts []string) error {
			if streamed {
				m.stream.Tokens(time.Now(), len(texts))
			}
			return sink.Tokens(first, texts)
		},
		End: func(reason string) error {
			m.stream.End(time.Now(), true)
			return sink.End(reason)
		},
	}
}
