package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

// reservedTokens are reserved of a workspace's tokens in flight when a generation starts,
// besides its prompt. Further tokens are added as they are generated.
const reservedTokens = 256

type (
	// completion is the response body with a complete generation, for a caller that wants
	// no stream.
	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   usage              `json:"usage"`
	}

	completionChoice struct {
		Index        int                `json:"index"`
		Message      *completionMessage `json:"message,omitempty"`
		Text         string             `json:"text,omitempty"`
		FinishReason string             `json:"finish_reason"`
	}

	completionMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	usage struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	}
)

// serveGeneration serves a completion request, as a stream or in one response.
func (e *Entry) serveGeneration(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := e.newID(now, "g")
	contract, start, stream, refusal := e.readGeneration(w, r)
	if refusal != nil {
		e.refuseRequest(w, id, contract.Workspace, refusal)
		return
	}
	start.GenerationId = id
	burn := e.recordGeneration(now, contract, start)
	permit, err := e.acquire(r.Context(), now, contract, demandOf(start))
	if err != nil {
		burn.failed(e, time.Now(), refusalOf(err))
		e.refuseRequest(w, id, contract.Workspace, refusalOf(err))
		return
	}
	defer permit.release()
	deadline := now.Add(e.RequestTimeout)
	start.AdmitDeadline = deadline.UnixNano()
	req := relayer.Request{Start: start, Deadline: deadline}
	if stream {
		e.stream(w, r, id, burn, permit, func(ctx context.Context, sink relayer.Sink) error {
			return e.Relayer.Relay(ctx, req, sink)
		})
		return
	}
	e.serveComplete(w, r, req, burn, permit)
}

// readGeneration reads a completion request and checks it against the contract. It returns
// the start message and whether the caller wants a stream. A refusal comes with the contract
// if the caller is known.
func (e *Entry) readGeneration(w http.ResponseWriter, r *http.Request) (registrar.Contract, *messenger.GenerateStart, bool, *RefusalError) {
	contract, refusal := e.authenticate(r)
	if refusal != nil {
		return contract, nil, false, refusal
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return contract, nil, false, refusal
	}
	start, stream, refusal := parseGeneration(r, contract, body)
	return contract, start, stream, refusal
}

// stream writes a generation as events while it is generated. relay runs it and delivers it
// to a sink. An error before the first event is written as a refusal, and a later one as an
// event.
func (e *Entry) stream(w http.ResponseWriter, r *http.Request, id string, burn *burnRecorder, permit Permit, relay func(context.Context, relayer.Sink) error) {
	events := newEventWriter(w)
	stopComments := keepAlive(events)
	defer stopComments()
	err := relay(r.Context(), burn.wrap(relayer.Sink{
		Admitted: events.admitted,
		Tokens: func(first uint64, texts []string) error {
			permit.spend(time.Now(), len(texts))
			return events.tokens(first, texts)
		},
		End: events.end,
	}, true))
	if err == nil {
		return
	}
	var callerErr *relayer.CallerError
	if errors.As(err, &callerErr) {
		e.Log.Emit(time.Now(), logger.GenerationCancelled, id, logger.F("cause", callerErr))
		cutOff()
	}
	refusal := refusalOf(err)
	burn.failed(e, time.Now(), refusal)
	if events.hasStarted() {
		_ = events.incomplete(refusal)
		return
	}
	e.refuseRequest(w, id, burn.contract.Workspace, refusal)
}

// serveComplete runs a generation and writes it, or an error, as one response.
func (e *Entry) serveComplete(w http.ResponseWriter, r *http.Request, req relayer.Request, burn *burnRecorder, permit Permit) {
	var text strings.Builder
	var n uint64
	finish := ""
	err := e.Relayer.Relay(r.Context(), req, burn.wrap(relayer.Sink{
		Admitted: func(sequencer.Cursor, *messenger.GenerateStart) error { return nil },
		Tokens: func(_ uint64, texts []string) error {
			permit.spend(time.Now(), len(texts))
			n += uint64(len(texts))
			for _, t := range texts {
				text.WriteString(t)
			}
			return nil
		},
		End: func(reason string) error { finish = reason; return nil },
	}, false))
	var gone *relayer.CallerError
	if errors.As(err, &gone) {
		e.Log.Emit(time.Now(), logger.GenerationCancelled, req.Start.GetGenerationId(), logger.F("cause", gone))
		cutOff()
	}
	if err != nil {
		burn.failed(e, time.Now(), refusalOf(err))
		e.refuseRequest(w, req.Start.GetGenerationId(), burn.contract.Workspace, refusalOf(err))
		return
	}
	response := completion{ID: req.Start.GetGenerationId(), Model: req.Start.GetModel(), Usage: usage{req.Start.GetPromptTokens(), n}}
	if isChat(req.Start) {
		response.Object = "chat.completion"
		response.Choices = []completionChoice{{Message: &completionMessage{Role: "assistant", Content: text.String()}, FinishReason: finish}}
	} else {
		response.Object = "text_completion"
		response.Choices = []completionChoice{{Text: text.String(), FinishReason: finish}}
	}
	writeJSON(w, response)
}

// cutOff ends a handler and closes the connection without the end of the response: one that just
// returns completes it.
func cutOff() {
	panic(http.ErrAbortHandler)
}

// refuseRequest writes a refusal and logs it.
func (e *Entry) refuseRequest(w http.ResponseWriter, id, workspace string, refusal *RefusalError) {
	e.Log.Emit(time.Now(), logger.RequestRefused, id, logger.F("workspace", workspace), logger.F("code", refusal.Code),
		logger.F("status", refusal.Status), logger.F("ran", ranText(refusal.Ran)), logger.F("message", refusal.Message))
	w.Header().Set("X-Request-Id", id)
	writeRefusal(w, refusal)
}

// acquire calls Acquire, or returns an empty permit if there are no limits.
func (e *Entry) acquire(ctx context.Context, now time.Time, contract registrar.Contract, demand limiter.Demand) (Permit, error) {
	if e.Acquire == nil {
		return Permit{}, nil
	}
	return e.Acquire(ctx, now, contract, demand)
}

// demandOf returns what a generation takes from its workspace's limits.
func demandOf(start *messenger.GenerateStart) limiter.Demand {
	expected := int64(reservedTokens)
	if most := int64(start.GetMaxTokens()); most > 0 {
		expected = min(expected, most)
	}
	return limiter.Demand{Generation: true, PromptTokens: int64(start.GetPromptTokens()), ExpectedTokens: expected}
}

// newID returns a unique request id of kind, entry name, time in microseconds and number.
func (e *Entry) newID(now time.Time, kind string) string {
	return fmt.Sprintf("%s-%s-%x-%x", kind, e.Name, now.UnixMicro(), e.requests.Add(1))
}

func (p Permit) release() {
	if p.Release != nil {
		p.Release(time.Now())
	}
}

func (p Permit) spend(now time.Time, n int) {
	if p.Spend != nil {
		p.Spend(now, n)
	}
}

// keepAlive writes keep-alive comments to a stream until the returned function is called.
func keepAlive(events *eventWriter) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				events.comment(now)
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
