package forwarder

import (
	"context"
	"errors"
	"syscall"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

type (
	// loss is a request that its backend server lost. Only a generation can have begun.
	loss struct {
		f *Forwarder
		// event is the event that is logged.
		event   logger.Event
		run     string
		backend *messenger.Backend
		at      time.Time
		// parts holds the ids of the request's parts that other requests may share.
		parts []string
		// begun is set if the response header had arrived, sinceBegin earlier; events is the number
		// of events that followed it.
		begun      bool
		sinceBegin time.Duration
		events     int
		// settled is set if the generation was beyond its beginning.
		settled bool
		cause   error
	}

	// processState is what is known of a backend server's process.
	processState string
)

const (
	// processEnded means that the process no longer listens at its address.
	processEnded processState = "ended"
	// processRuns means that it takes connections: it broke off only what it lost.
	processRuns processState = "runs"
	// processUnknown means that it could not be reached.
	processUnknown processState = "unknown"
)

// maxInspections bounds the attempts to reach a backend server that lost a generation.
const maxInspections = 2

// recordLoss records that the backend server lost the generation. Once that is done, recorded gives the
// state of its process and is closed. If ctx has ended nothing is recorded: the client's leaving or the
// deadline ended the generation.
func (s *stream) recordLoss(ctx context.Context, cause error) (recorded <-chan processState) {
	done := make(chan processState, 1)
	s.lostHere = ctx.Err() == nil
	if !s.lostHere {
		close(done)
		return done
	}
	l := loss{
		f: s.f, event: logger.RunLost, run: s.x.id, backend: s.backend, at: time.Now(), parts: s.parts, settled: s.healthRecorded, events: s.eventsHere, cause: cause,
	}
	if !s.begunAt.IsZero() {
		l.begun, l.sinceBegin = true, l.at.Sub(s.begunAt).Round(time.Millisecond)
	}
	go func() {
		defer close(done)
		done <- l.record(context.WithoutCancel(ctx))
	}()
	return done
}

// recordCallLoss records that a backend server lost a call. If ctx has ended nothing is recorded.
func (f *Forwarder) recordCallLoss(ctx context.Context, x *exchange, parts []string, b *messenger.Backend, cause error) {
	if ctx.Err() != nil {
		return
	}
	l := loss{f: f, event: logger.ForwardLost, run: x.id, backend: b, at: time.Now(), parts: parts, cause: cause}
	go l.record(context.WithoutCancel(ctx))
}

// record finds out whether the backend server's process has ended, logs the loss and returns the state of
// the process. If it ended while the request was not beyond its beginning, that counts against the parts
// of the request.
func (l loss) record(ctx context.Context) processState {
	process := inspectProcess(ctx, l.backend.Address)
	now := time.Now()
	l.f.Log.Emit(now, l.event, l.run, logger.F("backend", l.backend.Id), logger.F("process", process),
		logger.F("begun", l.begun), logger.F("sinceBegin", l.sinceBegin), logger.F("events", l.events),
		logger.F("parts", l.parts), logger.F("cause", l.cause))
	if process == processEnded && !l.settled {
		l.f.Quarantine.RecordCrash(now, l.at, l.backend, quarantiner.Beginning{Run: l.run, Parts: l.parts, Begun: l.begun})
	}
	return process
}

// awaitProcess returns the state that recorded gives; processUnknown if it gives none before ctx ends.
func awaitProcess(ctx context.Context, recorded <-chan processState) processState {
	select {
	case process, given := <-recorded:
		if given {
			return process
		}
	case <-ctx.Done():
	}
	return processUnknown
}

// inspectProcess finds out whether the process at address still runs.
func inspectProcess(ctx context.Context, address string) processState {
	for range maxInspections {
		conn, err := sender.Dial(ctx, address)
		if err == nil {
			_ = conn.Close()
			return processRuns
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return processEnded
		}
	}
	return processUnknown
}
