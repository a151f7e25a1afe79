package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

const (
	// maxPendingOrders bounds the move orders that are queued for one generation.
	maxPendingOrders = 4
)

var (
	// ErrUnknownRun is returned for a generation that is not on this host.
	ErrUnknownRun = errors.New("generation is not here")
	// ErrOrdersPending is returned for a generation with too many move orders in its queue.
	ErrOrdersPending = errors.New("too many move orders are pending")

	errAnswerTimeout = errors.New("engine did not answer in time")
)

// Move queues a move order for its generation. It returns ErrUnknownRun if the generation is not
// on this host, and ErrOrdersPending if its queue is full.
func (f *Forwarder) Move(m *messenger.MoveOrder) error {
	f.mu.Lock()
	s := f.streams[m.Run]
	f.mu.Unlock()
	if s == nil {
		return ErrUnknownRun
	}
	select {
	case s.orders <- m:
		return nil
	default:
		return ErrOrdersPending
	}
}

// PrepareMoves opens a connection to an engine that leaves if this host has generations there. Their
// moves will be requested on it.
func (f *Forwarder) PrepareMoves(b *messenger.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if state := s.lastState.Load(); state != nil && state.Backend == b.Id {
			// If that fails, the move opens its own.
			go func() { _ = f.Pool.Prepare(context.Background(), time.Now(), b.Address, maxIdleUnrepeatable) }()
			return
		}
	}
}

// Runs returns the states of this host's generations that have a placement.
func (f *Forwarder) Runs() []*messenger.RunState {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*messenger.RunState, 0, len(f.streams))
	for _, s := range f.streams {
		if state := s.lastState.Load(); state != nil {
			state = proto.CloneOf(state)
			state.MadeTokens = s.tokensBefore + s.eventsSentShared.Load()*int32(s.x.tokensPerEvent()) //nolint:gosec // A client's token limit is far below.
			list = append(list, state)
		}
	}
	return list
}

// generate serves a generation.
func (f *Forwarder) generate(ctx context.Context, x *exchange) {
	req := f.Dialect.ParseDemand(x.r)
	if !f.admitDuringStop(time.Now(), x, expectedTime(req)) {
		return
	}
	s := &stream{
		f: f, x: x, req: req, parts: sharedParts(x, req), place: f.Place, releaseBackend: func() {}, orders: make(chan *messenger.MoveOrder, maxPendingOrders),
		copyDone: make(chan copyResult, 1), ended: make(chan struct{}), interrupted: &interruption{},
	}
	s.req.Run, s.req.Service, s.req.Priority, s.req.Workspace = x.id, x.service.Name, int32(x.priority), x.workspace
	s.req.FailureDomain, s.req.Regions, s.req.GapMs = f.FailureDomain, x.regions, x.route.Gap.Milliseconds()
	if x.service.Engine == nil {
		s.place = s.placeLocally
	}
	defer func() { s.releaseBackend() }()
	if x.route.Resumable && !s.readLastEvent() {
		return
	}
	ctx, s.end = context.WithCancelCause(ctx)
	defer s.end(nil)
	f.endFormer(ctx, s)
	f.register(s)
	defer f.unregister(s)
	if !f.admitParts(time.Now(), x, s.parts) {
		return
	}
	if !s.start(ctx) {
		return
	}
	s.run(ctx)
	s.reportState(messenger.RunState_PHASE_ENDED)
}

// sharedParts returns the ids of the parts of a request that other requests may share: the whole
// request, and those of its prompt but the last one, which belongs to the request itself.
func sharedParts(x *exchange, req *messenger.PlaceRequest) []string {
	shared := []string{quarantiner.WholeRequest(x.fingerprint())}
	for _, p := range req.Parts[:max(len(req.Parts)-1, 0)] {
		shared = append(shared, p.Id)
	}
	return shared
}

// register makes a generation known to Move and Runs.
func (f *Forwarder) register(s *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[string]*stream)
	}
	f.streams[s.x.id] = s
}

// unregister forgets a generation, unless another one has taken its id since.
func (f *Forwarder) unregister(s *stream) {
	close(s.ended)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams[s.x.id] == s {
		delete(f.streams, s.x.id)
	}
}

const (
	// typicalFirstToken is the typical time to the first token, typicalTokenTime the typical
	// time for each token. typicalTokens is the length that is assumed for a request without a
	// hint.
	typicalFirstToken = time.Second
	typicalTokenTime  = 12 * time.Millisecond
	typicalTokens     = 1000
)

// expectedTime returns how long a generation is expected to run. Half of all generations
// are longer than their client's estimate, so twice the estimate is assumed.
func expectedTime(req *messenger.PlaceRequest) time.Duration {
	tokens := typicalTokens
	if req.HintTokens > 0 {
		tokens = 2 * int(req.HintTokens)
	}
	if req.MaxTokens > 0 {
		tokens = min(tokens, int(req.MaxTokens))
	}
	return typicalFirstToken + time.Duration(tokens)*typicalTokenTime
}

// placeLocally replaces Forwarder.Place for a service without engines. It chooses a backend
// server as for calls.
func (s *stream) placeLocally(ctx context.Context, _ *messenger.PlaceRequest) (*messenger.Placement, error) {
	s.releaseBackend()
	s.releaseBackend = func() {}
	b, done, err := s.f.choose(ctx, s.x, s.req.Avoid)
	if b == nil {
		return nil, err
	}
	s.releaseBackend = func() {
		ended := balancer.Answered
		if s.lostHere || s.x.outcome == "failed" || s.x.outcome == "broken" {
			ended = balancer.Lost
		}
		done(time.Now(), ended)
	}
	return &messenger.Placement{Backend: b.Id}, nil
}

// open sends the request to an engine. It returns errDeclined if the engine states that it
// did not run the request, and a sender.LostError if a stream isn't an engine's. Without the
// response header within the given time the connection is closed, by which the engine learns to
// stop, and the cause is errAnswerTimeout; 0 sets no limit.
func (s *stream) open(
	ctx context.Context, b *messenger.Backend, within time.Duration, extra ...sender.Field,
) (*sender.Response, error) {
	now := time.Now()
	conn, err := s.f.Pool.Get(ctx, now, b.Address, maxIdleUnrepeatable)
	if err != nil {
		return nil, &sender.UnsentError{Cause: err}
	}
	stop := closeAfter(conn, within)
	resp, err := s.f.sendTo(ctx, s.x, now, conn, b, extra...)
	expired := stop()
	if unsent := new(sender.UnsentError); errors.As(err, &unsent) {
		return nil, err
	}
	if expired {
		if err == nil {
			resp.Abort()
		}
		return nil, &sender.LostError{Cause: errAnswerTimeout}
	}
	if err != nil {
		return nil, err
	}
	if s.f.notRun(resp) {
		// The generation may come here again under its id, and must not find this response again.
		resp.Abort()
		return nil, errDeclined
	}
	if resp.Status != http.StatusOK {
		return resp, nil
	}
	if err := s.f.checkHeader(resp); err != nil {
		resp.Abort()
		return nil, err
	}
	return resp, nil
}

// closeAfter closes a connection after the given time, unless stop is called before; 0 sets no limit.
// stop reports whether the time has expired.
func closeAfter(conn *sender.Conn, within time.Duration) (stop func() (expired bool)) {
	if within == 0 {
		return func() bool { return false }
	}
	timer := time.AfterFunc(within, func() { _ = conn.Close() })
	return func() bool { return !timer.Stop() }
}
