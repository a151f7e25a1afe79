// Package forwarder serves clients' requests by forwarding them to backend servers. It resolves
// the route, checks the API key and forwards the request within its deadline. It sends a request
// to another backend server only if the request has not run or is idempotent, and answers with a
// status that implies that it did not run only under the same condition.
//
// A generation is also called a run; its memory is its KV cache on an engine.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/budgeter"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/escaper"
	"verbenareach/internal/wire/messenger"
)

type (
	// Forwarder serves the requests of one host. Its exported fields are set before first use.
	Forwarder struct {
		Dialect Dialect
		// FailureDomain is the failure domain of this host.
		FailureDomain string
		// Balancer chooses backend servers of services without engines.
		Balancer *balancer.Balancer
		// StartedAt is when the host started.
		StartedAt time.Time
		// Catalog returns the configuration in force, or nil while none is known.
		Catalog func() *cataloger.Catalog
		Tracker *tracker.Tracker
		Budget  *budgeter.Budgeter
		Pool    *sender.Pool
		// Quarantine refuses generations whose prompt has a part that crashes engines.
		Quarantine *quarantiner.Quarantiner
		// Throttler holds the limits that backend servers set, and Permit asks for permission to send a
		// request to one of them, as allocator.Allocator.Permit does.
		Throttler *throttler.Throttler
		Permit    func(ctx context.Context, b *messenger.Backend, maxWait time.Duration) (wait time.Duration, granted bool)
		// OnLeaving is called when a backend server says in its answer to the request with an id that
		// it leaves.
		OnLeaving func(now time.Time, b *messenger.Backend, id string)
		// Place requests a placement for a generation and waits for the decision.
		Place func(ctx context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error)
		// ReportState passes the state of a generation on to the scheduler.
		ReportState func(state *messenger.RunState)
		// Regions holds the region of each failure domain.
		Regions map[string]string
		// Stopping returns how far the host's stop has come; nil unless it is about to stop.
		Stopping func() *Stop
		Log      *logger.Logger
		// Observe is called after each admitted request with its kind, outcome and duration.
		Observe func(kind, outcome string, took time.Duration)
		// ObserveFirstEvent is called with the time from a generation's arrival to its first
		// event. ObserveGap is called with the time between two successive writes of a
		// generation's events.
		ObserveFirstEvent func(d time.Duration)
		ObserveGap        func(d time.Duration)
		// ObservePace is called with the time that an engine took for the next tokens of a generation.
		ObservePace func(now time.Time, b *messenger.Backend, gap time.Duration, tokens int)
		// ObservePause is called after each whole generation with the longest pause that was forecast, 0 if
		// none was, and the longest one.
		ObservePause func(forecast, longest time.Duration)

		// LargeBytes bounds the responses above smallResponseBytes that are being delivered, all
		// together. It counts as at least the size of the largest one.
		LargeBytes int64

		// large holds a value for each response above smallResponseBytes that is being read,
		// largeHeld counts the bytes of those that are being delivered.
		large     chan struct{}
		largeHeld *semaphore.Weighted
		makeLarge sync.Once

		mu sync.Mutex
		// streams holds the generations in progress, by run id.
		streams map[string]*stream
	}

	// timeLimit names who bounds the time of a request.
	timeLimit string

	// refusal is a reason to refuse a request that tells when it may be sent again.
	refusal interface {
		error
		retryAfter() time.Duration
	}

	// exchange is one client request that is being served.
	exchange struct {
		w *receiver.Writer
		r *receiver.Request
		// givenID is the request's id as the client set it; engines and the client know it by this. id is the
		// one in logs and messages between hosts, where it is also the run id of a generation: givenID, or a
		// quoted form of it if it is not UTF-8.
		givenID, id string

		route   cataloger.Route
		service cataloger.Service
		// workspace is the workspace of the API key; empty if no key is required.
		workspace string
		// regions holds the only regions that may serve the request if isBound is set.
		regions []string
		isBound bool
		// priority is that of the workspace if it has one, else the route's; 0 is the highest.
		priority int
		// catalog is the configuration that decided the request at decidedAt; nil if none was known.
		catalog   *cataloger.Catalog
		decidedAt time.Time
		// deadline is the earlier of the client's deadline and the route's timeout; limit tells whose it is.
		deadline time.Time
		limit    timeLimit
		// mayHaveRun is set once a backend server may have run the request.
		mayHaveRun bool
		// outcome is how the request ended: served, backendError (a response with a status of
		// 500 or above was forwarded), refused (it did not run), failed (it may have run, but no
		// response could be forwarded), broken (its stream ended early) or left (the client did).
		outcome string
	}
)

const (
	// startupHold bounds how long a request is held while a host that has just started learns
	// its configuration and the backend servers. A host counts as just started for
	// startupPeriod.
	startupHold   = 800 * time.Millisecond
	startupPeriod = 5 * time.Second
	// pollInterval is the pause between checks of a condition that a request waits for.
	pollInterval = 20 * time.Millisecond
	// maxClientTimeout is the longest time that a client's deadline field may set.
	maxClientTimeout = 24 * time.Hour
	// retryAfterUnready is sent to clients while the host has no configuration.
	retryAfterUnready = time.Second
	// retryAfterBusy is sent to clients when no backend server takes the request.
	retryAfterBusy = 300 * time.Millisecond
	// leavesValue is the value of Dialect.Leaves with which a backend server says that it leaves.
	leavesValue = "1"
)

// The route's timeout and the client's deadline bound a request's time.
const (
	limitOfRoute  timeLimit = "route"
	limitOfClient timeLimit = "client"
)

// Handle serves one request.
func (f *Forwarder) Handle(ctx context.Context, w *receiver.Writer, r *receiver.Request) {
	given := r.Get(f.Dialect.RequestID)
	x := &exchange{w: w, r: r, givenID: given, id: escaper.Text(given)}
	f.awaitStartup(ctx, func() bool { return f.Catalog() != nil })
	if !f.admit(x) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	f.Budget.RecordRequest(r.Arrived, x.service.Name)
	if x.route.Kind == cataloger.Stream {
		f.generate(ctx, x)
	} else {
		f.call(ctx, x)
	}
	f.Observe(kindName(x.route.Kind), x.outcome, time.Since(r.Arrived))
}

// awaitStartup waits until ready returns true, for startupHold at most. On a host that
// started more than startupPeriod ago it returns at once.
func (f *Forwarder) awaitStartup(ctx context.Context, ready func() bool) {
	now := time.Now()
	if now.Sub(f.StartedAt) > startupPeriod {
		return
	}
	for end := now.Add(startupHold); !ready() && ctx.Err() == nil && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// admit resolves the request's route, workspace and deadline; a missing or invalid deadline
// field sets none. If the request can't be accepted, admit answers it and returns false.
func (f *Forwarder) admit(x *exchange) bool {
	c := f.Catalog()
	x.catalog, x.decidedAt = c, time.Now()
	if c == nil {
		f.refuse(x, http.StatusServiceUnavailable, "no configuration is known yet", retryAfterUnready)
		return false
	}
	route, ok := c.Match(x.r.Host, x.r.Path)
	if !ok {
		f.refuse(x, http.StatusNotFound, "no route matches", 0)
		return false
	}
	if x.id == "" {
		f.refuse(x, http.StatusBadRequest, "request has no id", 0)
		return false
	}
	x.route, x.priority = route, route.Priority
	var ws cataloger.Workspace
	if c.KeyRequired && !route.Public {
		key, _ := strings.CutPrefix(x.r.Get("Authorization"), "Bearer ")
		ws, ok = c.Workspace(key)
		if !ok {
			f.refuse(x, http.StatusUnauthorized, "key is unknown", 0)
			return false
		}
		x.workspace = ws.Name
		if ws.HasPriority {
			x.priority = ws.Priority
		}
	}
	x.regions, x.isBound = cataloger.AllowedRegions(route, ws)
	if !f.admitRegions(x) {
		return false
	}
	x.service = c.Services[route.Pick(rand.Float64())] //nolint:gosec // Not security-relevant: it only splits traffic.
	x.deadline, x.limit = f.deadlineOf(x.r, route)
	return true
}

// Deadline returns when a request, whose body may not have been read yet, must have an answer; zero if no
// route matches.
func (f *Forwarder) Deadline(r *receiver.Request) time.Time {
	c := f.Catalog()
	if c == nil {
		return time.Time{}
	}
	route, ok := c.Match(r.Host, r.Path)
	if !ok {
		return time.Time{}
	}
	deadline, _ := f.deadlineOf(r, route)
	return deadline
}

// deadlineOf returns the earlier of the client's deadline and the timeout of a request's route, and whose it is.
func (f *Forwarder) deadlineOf(r *receiver.Request, route cataloger.Route) (time.Time, timeLimit) {
	if left, ok := clientTimeout(r.Get(f.Dialect.Deadline)); ok && left < route.Timeout {
		return r.Arrived.Add(left), limitOfClient
	}
	return r.Arrived.Add(route.Timeout), limitOfRoute
}

// clientTimeout parses the time that a client waits, in milliseconds. ok is false if text is no
// number or the time is longer than maxClientTimeout, which is no limit.
func clientTimeout(text string) (left time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(text, 64)
	// The comparison is false for NaN too.
	if err != nil || !(ms < float64(maxClientTimeout/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(max(ms, 0) * float64(time.Millisecond)), true
}

// refuse answers a request that did not run and won't. retryAfter is the Retry-After sent to the
// client; 0 for none.
func (f *Forwarder) refuse(x *exchange, status int, reason string, retryAfter time.Duration) {
	x.outcome = "refused"
	logged := []logger.Field{
		logger.F("status", status), logger.F("reason", reason), logger.F("route", x.route.Name),
		logger.F("service", x.service.Name), logger.F("retryAfter", retryAfter),
	}
	if x.isBound {
		logged = append(logged, logger.F("regions", x.regions))
	}
	now := time.Now()
	f.Log.Emit(now, logger.ForwardRefused, x.id, append(logged, x.decisionFields(now)...)...)
	fields := f.localFields(x)
	if retryAfter > 0 {
		fields = append(fields, receiver.Field{Name: "Retry-After", Value: fmt.Sprintf("%.3f", retryAfter.Seconds())})
	}
	x.w.Reply(status, fields, []byte(reason+"\n"))
}

// fail answers a request that may have run but got no response that can be forwarded.
func (f *Forwarder) fail(x *exchange, status int, reason string, cause error) {
	x.outcome = "failed"
	now := time.Now()
	logged := []logger.Field{
		logger.F("status", status), logger.F("reason", reason), logger.F("route", x.route.Name), logger.F("service", x.service.Name),
		logger.F("cause", cause), logger.F("after", now.Sub(x.r.Arrived).Round(time.Millisecond)),
	}
	f.Log.Emit(now, logger.ForwardFailed, x.id, append(logged, x.decisionFields(now)...)...)
	x.w.Reply(status, f.localFields(x), []byte(reason+"\n"))
}

// decisionFields returns what tells by which configuration a request was decided, for how long that had
// been in force here, how long after its first byte the request was decided, and, once it has a deadline,
// whose that is and how much of its time is left at now; less than 0 is late.
func (x *exchange) decisionFields(now time.Time) []logger.Field {
	if x.catalog == nil {
		return nil
	}
	fields := []logger.Field{
		logger.F("version", x.catalog.Version), logger.F("inForce", x.decidedAt.Sub(x.catalog.InForceSince).Round(time.Millisecond)),
		logger.F("decidedAfter", x.decidedAt.Sub(x.r.Arrived).Round(time.Millisecond)),
	}
	if x.deadline.IsZero() {
		return fields
	}
	return append(fields, logger.F("limit", x.limit), logger.F("left", x.deadline.Sub(now).Round(time.Millisecond)))
}

// giveUp ends a request that got no response: it aborts the request if the client has left,
// refuses it if it can't have run, and fails it otherwise.
func (f *Forwarder) giveUp(ctx context.Context, x *exchange, reason string, cause error) {
	switch {
	case clientLeft(ctx):
		x.outcome = "left"
		now := time.Now()
		logged := []logger.Field{
			logger.F("route", x.route.Name), logger.F("after", now.Sub(x.r.Arrived).Round(time.Millisecond)),
		}
		f.Log.Emit(now, logger.ForwardDisconnected, x.id, append(logged, x.decisionFields(now)...)...)
		x.w.Abort()
	case !x.mayHaveRun:
		retryAfter := retryAfterBusy
		var known refusal
		if errors.As(context.Cause(ctx), &known) || errors.As(cause, &known) {
			reason, retryAfter = known.Error(), known.retryAfter()
		}
		f.refuse(x, http.StatusServiceUnavailable, reason, retryAfter)
	case errors.As(context.Cause(ctx), new(*quarantinedError)):
		f.fail(x, http.StatusBadGateway, "generation was ended before its engine answered", context.Cause(ctx))
	case errors.Is(context.Cause(ctx), receiver.ErrEnding):
		f.fail(x, http.StatusBadGateway, "host ends before an answer came", cause)
	case ctx.Err() != nil || time.Now().After(x.deadline):
		f.fail(x, http.StatusGatewayTimeout, "time ended before an answer came", cause)
	default:
		f.fail(x, http.StatusBadGateway, reason, cause)
	}
}

// clientLeft reports whether a request's context ended because its client left, or sent the request
// again: all other ends have a cause of their own.
func clientLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, context.Canceled) || errors.Is(cause, errSuperseded)
}

// sendTo sends the request to a backend server and returns its response, as sender.Pool.Send does.
func (f *Forwarder) sendTo(
	ctx context.Context, x *exchange, now time.Time, conn *sender.Conn, b *messenger.Backend, extra ...sender.Field,
) (*sender.Response, error) {
	resp, err := f.Pool.Send(ctx, conn, f.backendRequest(x, now, b.Id, extra...))
	if err != nil {
		return nil, err
	}
	received := time.Now()
	f.Throttler.RecordAnswer(received, now, b, resp.Header.Values(f.Dialect.RateLimit))
	if resp.Status != http.StatusMisdirectedRequest {
		f.Throttler.RecordColdAnswer(received, now, b, resp.Header.Values(f.Dialect.ColdLeft))
	}
	if f.saysLeaving(resp) {
		f.OnLeaving(received, b, x.id)
	}
	f.recordPause(received, x, b, resp)
	return resp, nil
}

// saysLeaving reports whether the backend server says in its answer that it leaves. A misdirected
// request was answered by another process than the one it was meant for.
func (f *Forwarder) saysLeaving(resp *sender.Response) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		return false
	}
	return slices.ContainsFunc(resp.Header.Values(f.Dialect.Leaves), func(v string) bool {
		return strings.TrimSpace(v) == leavesValue
	})
}

// notRun reports whether the backend server states that it did not run the request.
func (f *Forwarder) notRun(resp *sender.Response) bool {
	return resp.Status == http.StatusMisdirectedRequest || resp.Header.Get(f.Dialect.NotRun) != ""
}

func kindName(k cataloger.Kind) string {
	switch k {
	case cataloger.NonIdempotent:
		return "once"
	case cataloger.Stream:
		return "stream"
	default:
		return "idempotent"
	}
}
