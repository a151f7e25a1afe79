package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

const (
	// locateTimeout bounds the search for an agent that holds a generation, and
	// locateParallel the number of agents asked at once.
	locateTimeout  = 2 * time.Second
	locateParallel = 32
)

type (
	// location is an agent that holds an attempt of a generation.
	location struct {
		target relayer.Target
		// epoch numbers the attempt, from 1; 0 if there is none.
		epoch uint32
	}
)

// serveResume streams the rest of a generation from the caller's cursor on.
func (e *Entry) serveResume(w http.ResponseWriter, r *http.Request) {
	contract, cursor, refusal := e.readCursor(r)
	if refusal != nil {
		e.refuseRequest(w, r.PathValue("id"), contract.Workspace, refusal)
		return
	}
	burn := e.recordResume(time.Now(), contract)
	permit, err := e.acquire(r.Context(), time.Now(), contract, limiter.Demand{Generation: true, Resumed: true})
	if err != nil {
		e.refuseRequest(w, cursor.Generation, contract.Workspace, refusalOf(err))
		return
	}
	defer permit.release()
	// Logged before an agent is located, and so also if none is found.
	e.Log.Emit(time.Now(), logger.GenerationAttached, cursor.Generation, logger.F("server", cursor.Server), logger.F("after", cursor.Index))
	e.stream(w, r, cursor.Generation, burn, permit, func(ctx context.Context, sink relayer.Sink) error {
		target, ok := e.locate(ctx, contract.Workspace, cursor)
		if !ok {
			return &relayer.NotFoundError{ID: cursor.Generation}
		}
		return e.Relayer.Resume(ctx, contract.Workspace, cursor, target, sink)
	})
}

// serveCancel cancels a generation.
func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	contract, cursor, refusal := e.readCursor(r)
	if refusal != nil {
		e.refuseRequest(w, r.PathValue("id"), contract.Workspace, refusal)
		return
	}
	target, ok := e.locate(r.Context(), contract.Workspace, cursor)
	if !ok {
		e.refuseRequest(w, cursor.Generation, contract.Workspace, refusalOf(&relayer.NotFoundError{ID: cursor.Generation}))
		return
	}
	if err := e.Relayer.Cancel(r.Context(), contract.Workspace, cursor.Generation, target); err != nil {
		e.refuseRequest(w, cursor.Generation, contract.Workspace, refusalOf(err))
		return
	}
	e.Log.Emit(time.Now(), logger.GenerationCancelled, cursor.Generation, logger.F("cause", "the caller asked"))
	w.WriteHeader(http.StatusNoContent)
}

// readCursor authenticates the caller and returns its contract, which is also set with a
// refusal if the caller is known, and its cursor: Last-Event-ID, or without it the start of
// the generation in the path.
func (e *Entry) readCursor(r *http.Request) (registrar.Contract, sequencer.Cursor, *RefusalError) {
	contract, refusal := e.authenticate(r)
	if refusal != nil {
		return contract, sequencer.Cursor{}, refusal
	}
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return contract, sequencer.Cursor{Generation: r.PathValue("id"), Index: -1}, nil
	}
	cursor, err := sequencer.ParseCursor(last)
	if err != nil || cursor.Generation != r.PathValue("id") {
		return contract, cursor, refuse(http.StatusBadRequest, "badEventID", "Last-Event-ID is none of this generation")
	}
	return contract, cursor, nil
}

// locate finds an agent with an attempt at least as new as the cursor's: that of the cursor's
// server if it has one, or else the engine's agent with the newest. It returns false if none
// answers.
func (e *Entry) locate(ctx context.Context, workspace string, cursor sequencer.Cursor) (relayer.Target, bool) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	view := e.View()
	if member, ok := view.Member(cursor.Server); ok {
		if found, ok := e.locateAt(ctx, workspace, cursor.Generation, member); ok && found.epoch >= cursor.Epoch {
			return found.target, true
		}
	}
	var mu sync.Mutex
	var newest location
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(locateParallel)
	view.EachMember(func(m registrar.Member) {
		if m.Backend.Kind != registrar.BackendEngine {
			return
		}
		g.Go(func() error {
			found, ok := e.locateAt(ctx, workspace, cursor.Generation, m)
			mu.Lock()
			defer mu.Unlock()
			if ok && found.epoch > newest.epoch {
				newest = found
			}
			return nil
		})
	})
	_ = g.Wait()
	return newest.target, newest.epoch > 0 && newest.epoch >= cursor.Epoch
}

// locateAt asks the agent of m for the generation. It returns false if the agent does not
// hold it or does not answer.
func (e *Entry) locateAt(ctx context.Context, workspace, generation string, m registrar.Member) (location, bool) {
	conn := e.Relayer.Pool.Conn(ctx, m.Address)
	defer func() { _ = conn.Close() }()
	reply, err := messenger.NewDRPCAgentClient(conn).Locate(ctx, &messenger.LocateRequest{GenerationId: generation, Workspace: workspace})
	if err != nil || !reply.GetFound() {
		return location{}, false
	}
	target := relayer.Target{Server: m.Name, Address: m.Address, Incarnation: reply.GetIncarnation()}
	return location{target: target, epoch: reply.GetEpoch()}, true
}
