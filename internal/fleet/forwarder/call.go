package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

type (
	// wholeResponse is a response that was read to its end.
	wholeResponse struct {
		status int
		header http.Header
		body   []byte
		// held is how many bytes of Forwarder.LargeBytes the response takes until release is called.
		held int64
	}

	// attempts records what was tried for one request.
	attempts struct {
		// parts holds the id of the whole request, for the quarantine.
		parts []string
		// tried holds the ids of the chosen backend servers. reached counts those that the
		// request may have reached, including those that declined it.
		tried   []string
		reached int
		// failure is the newest status 500 response that was kept, backend the backend server
		// that sent it.
		failure *wholeResponse
		backend *messenger.Backend
		// reason and cause explain why there is no response yet.
		reason string
		cause  error
	}
)

var (
	errUnsigned  = errors.New("response is not signed")
	errEncoded   = errors.New("response has a content encoding")
	errNoBackend = errors.New("no backend server is ready")
	errDeclined  = errors.New("backend server declined")
	errTakesNone = fmt.Errorf("engine takes no run: it leaves, pauses or is evacuated: %w", errDeclined)
	errTooLarge  = errors.New("response is too large")
	errInternal  = errors.New("backend server returned status 500")
	errFull      = errors.New("all backend servers are full")
)

const (
	// maxBackendsTried bounds the backend servers that are tried for one request, including
	// those that could not be reached or declined.
	maxBackendsTried = 4
	// avoidUnreachable is how long a backend server that could not be reached is avoided.
	avoidUnreachable = 500 * time.Millisecond
	// maxResponseBytes bounds a response that is read whole before it is forwarded. Beyond
	// smallResponseBytes it needs one of maxLargeResponses places, so that backend servers which
	// send without end can't fill the memory. Once read, it takes a part of Forwarder.LargeBytes.
	maxResponseBytes   = 8 << 20
	smallResponseBytes = 64 << 10
	maxLargeResponses  = 2
	// maxIdleUnrepeatable bounds the idle time of a connection that is used for a request
	// which may not be repeated: the backend server may have closed one that was idle longer.
	maxIdleUnrepeatable = 3 * time.Second
)

// call serves a request whose response is read whole before it is forwarded.
func (f *Forwarder) call(ctx context.Context, x *exchange) {
	f.awaitStartup(ctx, func() bool {
		return len(f.Tracker.Ready(time.Now(), x.service.Name)) > 0
	})
	if !f.admitDuringStop(time.Now(), x, x.route.Objective) {
		return
	}
	t := &attempts{
		parts: []string{quarantiner.WholeRequest(x.fingerprint())}, reason: "no backend server is ready", cause: errNoBackend,
	}
	if !f.admitParts(time.Now(), x, t.parts) {
		return
	}
	for len(t.tried) < maxBackendsTried && ctx.Err() == nil {
		b, done, err := f.choose(ctx, x, t.tried)
		if err != nil && ctx.Err() == nil && !errors.Is(err, errNoBackend) {
			t.reason, t.cause = err.Error(), err
		}
		if b == nil {
			break
		}
		now := time.Now()
		if f.unavailable(now, b) {
			// It said so while the request waited.
			done(now, balancer.Unused)
			continue
		}
		if d := f.Quarantine.Check(now, x.id, t.parts); !d.Admitted() {
			done(now, balancer.Unused)
			t.cause = &quarantinedError{decision: d}
			break
		}
		if t.reached > 0 && !f.Budget.AllowRetry(now, x.service.Name) {
			done(now, balancer.Answered)
			break
		}
		t.tried = append(t.tried, b.Id)
		resp, err := f.attempt(ctx, x, b, done)
		if err == nil {
			answered := time.Now()
			f.Quarantine.RecordHealthy(answered, answered, t.parts)
		}
		if err == nil && !f.keepFailure(x, t, b, resp) {
			f.deliver(x, b, resp)
			return
		}
		if err == nil {
			err = errInternal
		}
		if !f.mayRetry(ctx, x, t, b, err) {
			break
		}
	}
	if t.failure != nil && !clientLeft(ctx) {
		f.deliver(x, t.backend, t.failure)
		return
	}
	f.giveUp(ctx, x, t.reason, t.cause)
}

// mayRetry records a failed attempt and reports whether another backend server may get the
// request. If the request may have run, it must be idempotent and have attempts left.
func (f *Forwarder) mayRetry(ctx context.Context, x *exchange, t *attempts, b *messenger.Backend, err error) bool {
	t.reason, t.cause = "no backend server gave an answer", err
	unsent, lost := new(sender.UnsentError), new(sender.LostError)
	if errors.As(err, &unsent) || errors.As(err, &lost) && ctx.Err() == nil {
		f.Tracker.Avoid(b.Id, time.Now().Add(avoidUnreachable))
	}
	if !errors.As(err, &unsent) {
		t.reached++
	}
	if errors.As(err, &lost) {
		f.recordCallLoss(ctx, x, t.parts, b, err)
	}
	f.Log.Emit(time.Now(), logger.ForwardAttemptFailed, x.id, logger.F("backend", b.Id), logger.F("cause", err),
		logger.F("tried", len(t.tried)), logger.F("mayHaveRun", x.mayHaveRun))
	if x.mayHaveRun && (!x.repeatable() || t.reached >= x.route.Attempts) {
		return false
	}
	return t.reached <= max(x.route.Attempts, 1)
}

// keepFailure reports whether resp is a failure after which another backend server may serve
// the request. If so, it keeps resp, which is forwarded if no other backend server serves it.
// A large one is dropped: other large responses would wait for the attempts that are left.
func (f *Forwarder) keepFailure(x *exchange, t *attempts, b *messenger.Backend, resp *wholeResponse) bool {
	repeatable := x.repeatable() && t.reached+1 < x.route.Attempts
	if resp.status != http.StatusInternalServerError || !repeatable {
		return false
	}
	if resp.held > 0 {
		f.release(resp)
		return true
	}
	t.backend, t.failure = b, resp
	return true
}

// attempt sends the request to one backend server, reads the whole response and calls done
// with the outcome.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, b *messenger.Backend, done balancer.Done) (*wholeResponse, error) {
	resp, err := f.roundTrip(ctx, x, b)
	done(time.Now(), outcomeOf(ctx, resp, err))
	return resp, err
}

// roundTrip sends the request to one backend server and reads the whole response.
func (f *Forwarder) roundTrip(ctx context.Context, x *exchange, b *messenger.Backend) (*wholeResponse, error) {
	maxIdle := time.Duration(0)
	if !x.repeatable() {
		maxIdle = maxIdleUnrepeatable
	}
	now := time.Now()
	conn, err := f.Pool.Get(ctx, now, b.Address, maxIdle)
	if err != nil {
		return nil, &sender.UnsentError{Cause: err}
	}
	resp, err := f.sendTo(ctx, x, now, conn, b)
	if err != nil {
		unsent := new(sender.UnsentError)
		x.mayHaveRun = x.mayHaveRun || !errors.As(err, &unsent)
		return nil, err
	}
	whole, err := f.readWhole(ctx, resp)
	if err != nil {
		resp.Abort()
		x.mayHaveRun = x.mayHaveRun || !errors.Is(err, errDeclined)
		return nil, err
	}
	resp.Done()
	if f.notRun(resp) {
		f.release(whole)
		return nil, errDeclined
	}
	x.mayHaveRun = true
	return whole, nil
}

// outcomeOf returns the outcome that counts for the backend server. A request whose client left
// does not count against it; one whose deadline passed counts as failed, not as lost.
func outcomeOf(ctx context.Context, resp *wholeResponse, err error) balancer.Outcome {
	lost := new(sender.LostError)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Answered
	case errors.As(err, &lost) && ctx.Err() == nil:
		return balancer.Lost
	case err != nil || resp.status >= http.StatusInternalServerError:
		return balancer.Failed
	default:
		return balancer.Answered
	}
}

// readWhole reads a response to its end and checks that it is complete, at most maxResponseBytes
// long, not encoded and, with a status below 300, signed. If a check fails, the error is a
// sender.LostError; if the body can't be read and the header states that the request did not run,
// it is errDeclined. The caller must release the response.
func (f *Forwarder) readWhole(ctx context.Context, resp *sender.Response) (*wholeResponse, error) {
	whole := &wholeResponse{status: resp.Status, header: resp.Header}
	err := f.readBody(ctx, resp.Body, whole)
	if err == nil {
		err = checkEnd(ctx, resp, time.Now())
	}
	switch {
	case err != nil && f.notRun(resp):
		err = errDeclined
	case err != nil:
		err = &sender.LostError{Cause: err}
	default:
		err = f.checkHeader(resp)
	}
	if err != nil {
		f.release(whole)
		return nil, err
	}
	return whole, nil
}

// checkHeader returns a sender.LostError if the header of a response shows that its body isn't a backend
// server's: it is encoded or, with a status below 300, not signed.
func (f *Forwarder) checkHeader(resp *sender.Response) error {
	switch {
	case resp.Header.Get("Content-Encoding") != "":
		return &sender.LostError{Cause: errEncoded}
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(f.Dialect.Signature) == "":
		return &sender.LostError{Cause: errUnsigned}
	default:
		return nil
	}
}

// readBody reads the body of a response; its error is errTooLarge beyond maxResponseBytes. A body
// above smallResponseBytes waits until others of that size have been read and delivered, or ctx ends.
func (f *Forwarder) readBody(ctx context.Context, body io.Reader, whole *wholeResponse) error {
	small, err := io.ReadAll(io.LimitReader(body, smallResponseBytes+1))
	whole.body = small
	if err != nil || len(small) <= smallResponseBytes {
		return err
	}
	f.makeLarge.Do(f.initLarge)
	select {
	case f.large <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.large }()
	rest, err := io.ReadAll(io.LimitReader(body, maxResponseBytes-smallResponseBytes))
	if err != nil {
		return err
	}
	whole.body = append(whole.body, rest...)
	if len(whole.body) > maxResponseBytes {
		return errTooLarge
	}
	size := int64(len(whole.body))
	if err := f.largeHeld.Acquire(ctx, size); err != nil {
		return err
	}
	whole.held = size
	return nil
}

// initLarge creates what bounds large responses.
func (f *Forwarder) initLarge() {
	f.large = make(chan struct{}, maxLargeResponses)
	f.largeHeld = semaphore.NewWeighted(max(f.LargeBytes, maxResponseBytes))
}

// release gives back what a response takes of LargeBytes.
func (f *Forwarder) release(resp *wholeResponse) {
	if resp.held > 0 {
		f.largeHeld.Release(resp.held)
		resp.held = 0
	}
}

// deliver sends a whole response to the client. A status that implies that the request did not
// run is forwarded only if the request is idempotent, as it may have run all the same. It releases
// the response.
func (f *Forwarder) deliver(x *exchange, b *messenger.Backend, resp *wholeResponse) {
	defer f.release(resp)
	if impliesNotRun(resp.status) && !x.repeatable() {
		f.fail(x, http.StatusBadGateway, "backend server did not say whether the request ran", errDeclined)
		return
	}
	x.outcome = "served"
	if resp.status >= http.StatusInternalServerError {
		x.outcome = "backendError"
	}
	now := time.Now()
	logged := []logger.Field{
		logger.F("backend", b.Id), logger.F("status", resp.status), logger.F("after", now.Sub(x.r.Arrived).Round(time.Millisecond)),
	}
	f.Log.Emit(now, logger.ForwardServed, x.id, append(logged, x.decisionFields(now)...)...)
	x.w.Reply(resp.status, clientFields(resp.header), resp.body)
}

// impliesNotRun reports whether a status implies that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
