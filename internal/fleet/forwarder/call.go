package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

type (
	// whole is an answer that was read to its end.
	whole struct {
		status int
		header http.Header
		body   []byte
	}

	// trials are what was tried for one request.
	trials struct {
		// tried holds the backend servers that were chosen, runs counts those of them that
		// the request may have reached.
		tried []string
		runs  int
		// failure is the newest failure that a backend server answered, backend that server.
		failure *whole
		backend *messenger.Backend
		// reason and cause tell why there is no answer yet.
		reason string
		cause  error
	}
)

var (
	errUnsigned = errors.New("answer bears no signature")
	errEncoded  = errors.New("answer is encoded")
	errNobody   = errors.New("no backend server is ready")
	errDeclined = errors.New("backend server declined")
	errTooLarge = errors.New("answer is too large")
	errInternal = errors.New("backend server failed by itself")
	errFull     = errors.New("this host has as many requests as each takes")
)

const (
	// maxPlaces bounds the backend servers that are tried for one request, those that
	// could not be reached or declined included.
	maxPlaces = 4
	// avoidUnreachable is how long a backend server that could not be reached is avoided.
	avoidUnreachable = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 16 << 20
	// freshOnce bounds how long a connection may have been idle that carries a request
	// which may not be repeated: an older one may be closed already.
	freshOnce = 3 * time.Second
)

// call serves a request whose answer is passed on whole.
func (f *Forwarder) call(ctx context.Context, x *exchange) {
	f.await(ctx, func() bool {
		return len(f.Tracker.Ready(time.Now(), x.service.Name)) > 0
	})
	t := &trials{reason: "no backend server is ready", cause: errNobody}
	for len(t.tried) < maxPlaces && ctx.Err() == nil {
		now := time.Now()
		b, done, full := f.Balancer.Choose(now, f.Tracker.Ready(now, x.service.Name), t.tried)
		if full && now.Sub(x.r.Arrived) < x.route.Objective {
			time.Sleep(awaitPause)
			continue
		}
		if full {
			t.reason, t.cause = "all backend servers are full", errFull
		}
		if b == nil {
			break
		}
		if t.runs > 0 && !f.Budget.Repeat(now, x.service.Name) {
			done(now, balancer.Answered)
			break
		}
		t.tried = append(t.tried, b.Id)
		answer, err := f.attempt(ctx, x, b, done)
		if err == nil && !t.failed(x, b, answer) {
			f.deliver(x, b, answer)
			return
		}
		if err == nil {
			err = errInternal
		}
		if !f.goesOn(ctx, x, t, b, err) {
			break
		}
	}
	if t.failure != nil && !errors.Is(ctx.Err(), context.Canceled) {
		f.deliver(x, t.backend, t.failure)
		return
	}
	f.giveUp(ctx, x, t.reason, t.cause)
}

// goesOn takes in that a backend server gave no usable answer; it tells whether another
// one may get the request.
func (f *Forwarder) goesOn(ctx context.Context, x *exchange, t *trials, b *messenger.Backend, err error) bool {
	t.reason, t.cause = "no backend server gave an answer", err
	unsent, lost := new(sender.UnsentError), new(sender.LostError)
	if errors.As(err, &unsent) || errors.As(err, &lost) && ctx.Err() == nil {
		f.Tracker.Avoid(b.Id, time.Now().Add(avoidUnreachable))
	}
	if !errors.As(err, &unsent) {
		t.runs++
	}
	f.Log.Emit(time.Now(), logger.ForwardRepeated, x.id, logger.F("backend", b.Id), logger.F("cause", err),
		logger.F("tried", len(t.tried)), logger.F("mayHaveRun", x.mayHaveRun))
	mayHaveRun := !errors.Is(err, errDeclined) && t.runs > 0
	if mayHaveRun && (x.route.Kind != cataloger.Idempotent || t.runs >= x.route.Attempts) {
		return false
	}
	return t.runs <= max(x.route.Attempts, 1)
}

// failed tells whether an answer is a failure after which another backend server may
// serve the request, and keeps it: it is passed on if none does.
func (t *trials) failed(x *exchange, b *messenger.Backend, answer *whole) bool {
	repeatable := x.route.Kind == cataloger.Idempotent && t.runs+1 < x.route.Attempts
	if answer.status != http.StatusInternalServerError || !repeatable {
		return false
	}
	t.backend, t.failure = b, answer
	return true
}

// attempt sends the request to one backend server and reads its whole answer. It calls
// done with how that ended.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, b *messenger.Backend, done balancer.Done) (*whole, error) {
	answer, err := f.roundTrip(ctx, x, b)
	done(time.Now(), outcomeOf(ctx, answer, err))
	return answer, err
}

// roundTrip sends the request to one backend server and reads its whole answer.
func (f *Forwarder) roundTrip(ctx context.Context, x *exchange, b *messenger.Backend) (*whole, error) {
	fresh := time.Duration(0)
	if x.route.Kind != cataloger.Idempotent {
		fresh = freshOnce
	}
	now := time.Now()
	conn, err := f.Pool.Get(ctx, now, b.Address, fresh)
	if err != nil {
		return nil, &sender.UnsentError{Cause: err}
	}
	a, err := f.Pool.Send(ctx, conn, f.outgoing(x, now, b.Id))
	if err != nil {
		unsent := new(sender.UnsentError)
		x.mayHaveRun = x.mayHaveRun || !errors.As(err, &unsent)
		return nil, err
	}
	answer, err := f.readWhole(a)
	if err != nil {
		a.Break()
		x.mayHaveRun = x.mayHaveRun || !errors.Is(err, errDeclined)
		return nil, err
	}
	a.Done()
	if f.notRun(a) {
		return nil, errDeclined
	}
	x.mayHaveRun = true
	return answer, nil
}

// outcomeOf tells what the end of a request says of the backend server. That a client
// left or its time ended says nothing.
func outcomeOf(ctx context.Context, answer *whole, err error) balancer.Outcome {
	lost := new(sender.LostError)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Answered
	case errors.As(err, &lost) && ctx.Err() == nil:
		return balancer.Lost
	case err != nil || answer.status >= http.StatusInternalServerError:
		return balancer.Failed
	default:
		return balancer.Answered
	}
}

// readWhole reads an answer to its end and checks that it is one.
func (f *Forwarder) readWhole(a *sender.Answer) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	switch {
	case err != nil && f.notRun(a):
		return nil, errDeclined
	case err != nil:
		return nil, &sender.LostError{Cause: err}
	case len(body) > maxAnswerBytes:
		return nil, &sender.LostError{Cause: errTooLarge}
	case a.Header.Get("Content-Encoding") != "":
		return nil, &sender.LostError{Cause: errEncoded}
	case a.Status < http.StatusMultipleChoices && a.Header.Get(f.Dialect.Signature) == "":
		return nil, &sender.LostError{Cause: errUnsigned}
	}
	return &whole{status: a.Status, header: a.Header, body: body}, nil
}

// deliver passes a whole answer on. A status that promises "not run" goes on only where
// the request may run again anyway.
func (f *Forwarder) deliver(x *exchange, b *messenger.Backend, a *whole) {
	if promises(a.status) && x.route.Kind != cataloger.Idempotent {
		f.fail(x, http.StatusBadGateway, "backend server did not say whether the request ran", errDeclined)
		return
	}
	x.outcome = "served"
	if a.status >= http.StatusInternalServerError {
		x.outcome = "backendError"
	}
	f.Log.Emit(time.Now(), logger.ForwardServed, x.id, logger.F("backend", b.Id), logger.F("status", a.status),
		logger.F("after", time.Since(x.r.Arrived).Round(time.Millisecond)))
	x.w.Reply(a.status, incoming(a.header), a.body)
}

// promises tells whether a status promises that the request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
