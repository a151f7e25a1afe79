package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

const (
	// maxDeclined bounds the engines that may decline one generation.
	maxDeclined = 3
	// ordersAhead bounds the move orders that wait for one generation.
	ordersAhead = 4
)

// Order passes a move order to its generation; it tells whether that is here.
func (f *Forwarder) Order(m *messenger.MoveOrder) bool {
	f.mu.Lock()
	c := f.courses[m.Run]
	f.mu.Unlock()
	if c == nil {
		return false
	}
	select {
	case c.orders <- m:
		return true
	default:
		return false
	}
}

// Runs returns how all generations of this host stand.
func (f *Forwarder) Runs() []*messenger.RunState {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*messenger.RunState, 0, len(f.courses))
	for _, c := range f.courses {
		if s := c.snapshot.Load(); s != nil {
			s = proto.CloneOf(s)
			s.MadeTokens = c.progress.Load() * int32(c.x.stride()) //nolint:gosec // As above.
			list = append(list, s)
		}
	}
	return list
}

// generate serves a generation.
func (f *Forwarder) generate(ctx context.Context, x *exchange) {
	req := f.Dialect.Demand(x.r)
	if left, stopping := f.Stopping(); stopping && expectedTime(req) > left {
		f.refuse(x, http.StatusServiceUnavailable, "host is about to stop", retryStopping)
		return
	}
	c := &course{
		f: f, x: x, req: req, place: f.Place, leave: func() {}, orders: make(chan *messenger.MoveOrder, ordersAhead),
		copied: make(chan copyOutcome, 1),
	}
	c.req.Run, c.req.Service, c.req.Priority, c.req.Workspace = x.id, x.service.Name, int32(x.priority), x.workspace
	c.req.FailureDomain = f.FailureDomain
	if x.service.Engine == nil {
		c.place = c.placeHere
	}
	defer func() { c.leave() }()
	f.register(c)
	defer f.unregister(c)
	if !c.start(ctx) {
		return
	}
	c.run(ctx)
	c.tell(messenger.RunState_PHASE_ENDED)
}

// register has orders find a generation of this host, and whoever asks for all of them.
func (f *Forwarder) register(c *course) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.courses == nil {
		f.courses = make(map[string]*course)
	}
	f.courses[c.x.id] = c
}

// unregister forgets a generation, unless another one has its id by now.
func (f *Forwarder) unregister(c *course) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.courses[c.x.id] == c {
		delete(f.courses, c.x.id)
	}
}

const (
	// retryStopping is told to clients of a host that is about to stop: another one takes them.
	retryStopping = 50 * time.Millisecond
	// usualStart and usualToken are how long a generation usually takes to its first token
	// and for each token, usualOutput how many it has if its request does not say.
	usualStart  = time.Second
	usualToken  = 12 * time.Millisecond
	usualOutput = 1000
)

// expectedTime returns how long a generation is expected to last. Half of all last longer
// than their client's estimate, so twice that is taken.
func expectedTime(req *messenger.PlaceRequest) time.Duration {
	tokens := usualOutput
	if req.HintTokens > 0 {
		tokens = 2 * int(req.HintTokens)
	}
	if req.MaxTokens > 0 {
		tokens = min(tokens, int(req.MaxTokens))
	}
	return usualStart + time.Duration(tokens)*usualToken
}

// start has the generation run somewhere; if it can't, it answers the client.
func (c *course) start(ctx context.Context) bool {
	reason, cause := "no engine is ready", errNobody
	for range maxDeclined {
		if ctx.Err() != nil {
			break
		}
		now := time.Now()
		c.req.ObjectiveMs = max(c.x.route.Objective-now.Sub(c.x.r.Arrived), 0).Milliseconds()
		c.req.DeadlineMs = c.x.until.Sub(now).Milliseconds()
		p, err := c.place(ctx, c.req)
		if err != nil {
			cause = err
			break
		}
		if p.Backend == "" {
			c.f.refuse(c.x, http.StatusServiceUnavailable, p.Reason, time.Duration(p.RetryAfterMs)*time.Millisecond)
			return false
		}
		c.backend, c.backup = c.f.Tracker.Find(p.Backend), c.f.Tracker.Find(p.Backup)
		c.f.Log.Emit(time.Now(), logger.RunPlaced, c.x.id, logger.F("backend", p.Backend), logger.F("copy", p.Backup),
			logger.F("promptTokens", c.req.PromptTokens), logger.F("hintTokens", c.req.HintTokens),
			logger.F("maxTokens", c.req.MaxTokens), logger.F("view", p.Reason),
			logger.F("waited", time.Since(now).Round(time.Millisecond)))
		if c.backend == nil {
			c.decline(p.Backend)
			continue
		}
		if len(c.req.Avoid) > 0 && !c.f.Budget.Repeat(now, c.x.service.Name) {
			c.decline(p.Backend)
			break
		}
		err = c.send(ctx)
		if err == nil {
			return true
		}
		reason, cause = "no engine took the request", err
		c.f.Log.Emit(time.Now(), logger.ForwardRepeated, c.x.id, logger.F("backend", c.backend.Id),
			logger.F("cause", err), logger.F("mayHaveRun", c.x.mayHaveRun))
		if c.x.mayHaveRun {
			c.lose(ctx)
			break
		}
		c.decline(c.backend.Id)
	}
	c.f.giveUp(ctx, c.x, reason, cause)
	return false
}

// placeHere finds a place at a service without engines, by what this host has there.
func (c *course) placeHere(context.Context, *messenger.PlaceRequest) (*messenger.Placement, error) {
	c.leave()
	c.leave = func() {}
	now := time.Now()
	b, done, _ := c.f.Balancer.Choose(now, c.f.Tracker.Ready(now, c.x.service.Name), c.req.Avoid)
	if b == nil {
		return &messenger.Placement{RetryAfterMs: retryBusy.Milliseconds(), Reason: "no backend server is ready"}, nil
	}
	c.leave = func() {
		ended := balancer.Answered
		if c.x.outcome == "failed" || c.x.outcome == "broken" {
			ended = balancer.Lost
		}
		done(time.Now(), ended)
	}
	return &messenger.Placement{Backend: b.Id}, nil
}

// decline gives back a place that could not be used.
func (c *course) decline(backend string) {
	c.req.Avoid = append(c.req.Avoid, backend)
	c.snapshot.Store(nil)
	c.f.Tell(&messenger.RunState{Run: c.x.id, Backend: backend, Phase: messenger.RunState_PHASE_ENDED})
}

// lose gives back a place whose engine broke off before its first token. That a client
// left or its time ended is not the engine's fault.
func (c *course) lose(ctx context.Context) {
	phase := messenger.RunState_PHASE_LOST
	if ctx.Err() != nil {
		phase = messenger.RunState_PHASE_ENDED
	}
	c.f.Tell(&messenger.RunState{Run: c.x.id, Backend: c.backend.Id, Phase: phase})
}

// send sends the request to its first engine and awaits the head of the answer.
func (c *course) send(ctx context.Context) error {
	c.note(messenger.RunState_PHASE_PLACED)
	answer, err := c.open(ctx, c.backend, 0, c.backupField()...)
	if err != nil {
		unsent := new(sender.UnsentError)
		if errors.As(err, &unsent) {
			c.f.Tracker.Avoid(c.backend.Id, time.Now().Add(avoidUnreachable))
		} else if !errors.Is(err, errDeclined) {
			c.x.mayHaveRun = true
		}
		return err
	}
	c.x.mayHaveRun = true
	c.answer = answer
	return nil
}

// open sends the request to an engine. It fails with errDeclined where the engine says
// that it did not run the request. The head of the answer must come within a limit; 0
// sets none.
func (c *course) open(
	ctx context.Context, b *messenger.Backend, within time.Duration, extra ...sender.Field,
) (*sender.Answer, error) {
	now := time.Now()
	conn, err := c.f.Pool.Get(ctx, now, b.Address, freshOnce)
	if err != nil {
		return nil, &sender.UnsentError{Cause: err}
	}
	if within > 0 {
		limit := time.AfterFunc(within, func() { _ = conn.Close() })
		defer limit.Stop()
	}
	a, err := c.f.Pool.Send(ctx, conn, c.f.outgoing(c.x, now, b.Id, extra...))
	if err != nil {
		return nil, err
	}
	if c.f.notRun(a) {
		// The rest of the answer is of no use, but the connection may be.
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			a.Break()
		} else {
			a.Done()
		}
		return nil, errDeclined
	}
	return a, nil
}
