package forwarder

import (
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

type (
	// load is what this host knows of a backend server from its own requests.
	load struct {
		outstanding int
		// failing is the recent share of requests that failed there, as of sampled.
		failing float64
		sampled time.Time
	}

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
	// failingRate is the weight of a new sample of a backend server's failures;
	// ordinaryFailing is the share below which it costs nothing.
	failingRate     = 0.15
	ordinaryFailing = 0.25
	// failingHalfLife is how long a backend server that gets no requests keeps half of its
	// share of failures.
	failingHalfLife = 3 * time.Second
	// maxLoads bounds the backend servers that are remembered without a request there.
	maxLoads = 1024
	// failingCost is what a failing backend server costs beside an outstanding request.
	failingCost = 20
	// minOutstanding is how many requests one host may have at a backend server at least;
	// beyond its places it would only queue them.
	minOutstanding = 4
	// farCost is what another failure domain costs beside an outstanding request.
	farCost = 0.5
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
		b, done, full := f.choose(now, x.service.Name, t.tried)
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
			done(false)
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
// done with whether the backend server failed.
func (f *Forwarder) attempt(
	ctx context.Context, x *exchange, b *messenger.Backend, done func(failed bool),
) (*whole, error) {
	fresh := time.Duration(0)
	if x.route.Kind != cataloger.Idempotent {
		fresh = freshOnce
	}
	now := time.Now()
	conn, err := f.Pool.Get(ctx, now, b.Address, fresh)
	if err != nil {
		done(true)
		return nil, &sender.UnsentError{Cause: err}
	}
	a, err := f.Pool.Send(ctx, conn, f.outgoing(x, now, b.Id))
	if err != nil {
		unsent := new(sender.UnsentError)
		x.mayHaveRun = x.mayHaveRun || !errors.As(err, &unsent)
		done(!errors.Is(ctx.Err(), context.Canceled))
		return nil, err
	}
	answer, err := f.readWhole(a)
	if err != nil {
		a.Break()
		x.mayHaveRun = x.mayHaveRun || !errors.Is(err, errDeclined)
		done(!errors.Is(ctx.Err(), context.Canceled))
		return nil, err
	}
	a.Done()
	if f.notRun(a) {
		done(true)
		return nil, errDeclined
	}
	x.mayHaveRun = true
	done(answer.status >= http.StatusInternalServerError)
	return answer, nil
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

// choose returns the backend server that is expected to answer first and counts a request
// there until done is called; nil if none is ready. full tells that all that are ready
// have as much of this host as they take.
func (f *Forwarder) choose(
	now time.Time, service string, tried []string,
) (best *messenger.Backend, done func(failed bool), full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bestCost := math.Inf(1)
	for _, b := range f.Tracker.Ready(now, service) {
		if slices.Contains(tried, b.Id) {
			continue
		}
		if l := f.loads[b.Id]; l != nil && l.outstanding >= max(int(b.Slots), minOutstanding) {
			full = true
			continue
		}
		cost := rand.Float64() * 0.1 //nolint:gosec // Breaks ties.
		if l := f.loads[b.Id]; l != nil {
			cost += float64(l.outstanding) + failingCost*max(0, l.failingAt(now)-ordinaryFailing)
		}
		if b.FailureDomain != f.FailureDomain {
			cost += farCost
		}
		if cost < bestCost {
			best, bestCost = b, cost
		}
	}
	if best == nil {
		return nil, nil, full
	}
	return best, f.count(best.Id), false
}

// count counts a request at a backend server; what it returns ends it. The lock is held.
func (f *Forwarder) count(backend string) (done func(failed bool)) {
	if f.loads == nil {
		f.loads = make(map[string]*load)
	}
	if len(f.loads) > maxLoads {
		maps.DeleteFunc(f.loads, func(_ string, l *load) bool { return l.outstanding == 0 })
	}
	l := f.loads[backend]
	if l == nil {
		l = &load{}
		f.loads[backend] = l
	}
	l.outstanding++
	return func(failed bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		l.outstanding--
		sample := 0.0
		if failed {
			sample = 1
		}
		now := time.Now()
		l.failing = l.failingAt(now)
		l.failing += failingRate * (sample - l.failing)
		l.sampled = now
	}
}

// failingAt returns the share of failures, less for each moment since the last sample.
func (l *load) failingAt(now time.Time) float64 {
	return l.failing * math.Exp2(-float64(now.Sub(l.sampled))/float64(failingHalfLife))
}
