package follower

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

type (
	// connection is the stream to one control host. All but sent is used only
	// by the goroutine that owns it.
	connection struct {
		f      *Follower
		stream messenger.DRPCControl_FollowClient
		// sequence counts the heartbeats of this stream, sent has when the
		// unconfirmed ones were sent; guarded by the follower's mu.
		sequence uint64
		sent     map[uint64]time.Time
		// lastFresh is when the newest mark of freshness came, or the stream began;
		// guarded by the follower's mu.
		lastFresh time.Time
		// described and reported are the versions that were sent.
		described uint64
		reported  uint64
		// parts are the pieces of a snapshot that isn't whole yet.
		parts []*messenger.Snapshot
		// index is the index acknowledged last.
		index uint64
	}

	// StaleError tells that a control host had no confirmation by a quorum.
	StaleError struct {
		Address string
		// For is the time without a confirmation.
		For time.Duration
	}

	// countedConn is a connection to a control host. Its writes fail if they
	// stall, and its bytes are counted.
	countedConn struct {
		net.Conn
		traffic *traffic
	}

	// traffic counts bytes.
	traffic struct {
		sent, received atomic.Uint64
	}
)

var (
	_ error = &StaleError{}

	errNewer = errors.New("control knows a newer incarnation of this process")
	errFell  = errors.New("control host sent a lower index")
)

// Error tells for how long nothing was confirmed.
func (e *StaleError) Error() string {
	return "no quorum confirmed the state at control host " + e.Address + " for " + e.For.String()
}

// Unwrap returns nil: staleness has no cause.
func (e *StaleError) Unwrap() error {
	return nil
}

// Read reads into b.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write writes b within stallTimeout.
func (c countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// dial connects to a process of the system.
func (f *Follower) dial(ctx context.Context, address string) (drpc.Transport, error) {
	d := net.Dialer{Timeout: dialTimeout}
	tr, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	return countedConn{tr, &f.traffic}, nil
}

// follow follows the control host at address until its stream ends, or it is
// silent or stale for too long.
func (f *Follower) follow(ctx context.Context, address string) (err error) {
	transport, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(transport)
	defer func() { err = errors.Join(err, conn.Close()) }()
	// The stream outlives ctx, so that goodbye can be said.
	live, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := messenger.NewDRPCControlClient(conn).Follow(live)
	if err != nil {
		return eris.Wrap(err, "follow")
	}
	c := &connection{f: f, stream: stream, sent: make(map[uint64]time.Time), lastFresh: time.Now()}
	if err := c.hello(); err != nil {
		return err
	}
	f.setCurrent(address)
	defer f.setCurrent("")
	ended := make(chan error, 1)
	go func() { ended <- c.read(live) }()
	return c.write(ctx, address, ended)
}

func (f *Follower) setCurrent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = address
}

func (c *connection) hello() error {
	f := c.f
	f.mu.Lock()
	c.described = f.described
	hello := &messenger.Hello{Member: translator.MemberTo(f.self), Index: f.view.Load().Index}
	f.mu.Unlock()
	return c.send(&messenger.FollowUp{Body: &messenger.FollowUp_Hello{Hello: hello}})
}

// write sends heartbeats and what else is to be told.
func (c *connection) write(ctx context.Context, address string, ended <-chan error) error {
	ticker := time.NewTicker(c.f.heartbeatEvery())
	defer ticker.Stop()
	beat := true
	for {
		if err := c.sendNews(beat); err != nil {
			return err
		}
		if err := c.checkFresh(address, time.Now()); err != nil {
			return err
		}
		beat = false
		select {
		case <-ctx.Done():
			return c.send(&messenger.FollowUp{Body: &messenger.FollowUp_Goodbye{Goodbye: &messenger.Goodbye{}}})
		case err := <-ended:
			return err
		case <-ticker.C:
			beat = true
		case <-c.f.kick:
		}
	}
}

// checkFresh tells if the control host went without a quorum for too long.
func (c *connection) checkFresh(address string, now time.Time) error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if since := now.Sub(c.lastFresh); since > c.f.staleAfter() {
		return &StaleError{Address: address, For: since}
	}
	return nil
}

// sendNews sends what has changed, and a heartbeat if one is due or a newer
// index is to be acknowledged.
func (c *connection) sendNews(beat bool) error {
	f := c.f
	f.mu.Lock()
	var news []*messenger.FollowUp
	for _, r := range f.relayed {
		news = append(news, &messenger.FollowUp{Body: &messenger.FollowUp_Relayed{Relayed: r}})
	}
	f.relayed = nil
	if f.described != c.described {
		c.described = f.described
		news = append(news, &messenger.FollowUp{Body: &messenger.FollowUp_Member{Member: translator.MemberTo(f.self)}})
	}
	if f.report != nil && f.reported != c.reported {
		c.reported = f.reported
		news = append(news, &messenger.FollowUp{Body: &messenger.FollowUp_Report{Report: f.report}})
	}
	if index := f.view.Load().Index; beat || index != c.index {
		c.index = index
		c.sequence++
		c.sent[c.sequence] = time.Now()
		h := &messenger.Heartbeat{Sequence: c.sequence, Index: index}
		news = append(news, &messenger.FollowUp{Body: &messenger.FollowUp_Heartbeat{Heartbeat: h}})
	}
	f.mu.Unlock()
	for _, m := range news {
		if err := c.send(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *connection) send(m *messenger.FollowUp) error {
	return eris.Wrap(c.stream.Send(m), "send to control host")
}

// read takes the control host's messages until the stream ends.
func (c *connection) read(ctx context.Context) error {
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return eris.Wrap(err, "receive from control host")
		}
		if err := c.take(ctx, m); err != nil {
			return err
		}
	}
}

func (c *connection) take(ctx context.Context, m *messenger.FollowDown) error {
	switch body := m.GetBody().(type) {
	case *messenger.FollowDown_Welcome:
		return c.takeWelcome(body.Welcome)
	case *messenger.FollowDown_Snapshot:
		return c.takeSnapshot(body.Snapshot)
	case *messenger.FollowDown_Changes:
		return c.takeChanges(body.Changes)
	case *messenger.FollowDown_Fresh:
		return c.takeFresh(body.Fresh, time.Now())
	case *messenger.FollowDown_Loads:
		c.takeLoads(body.Loads)
	case *messenger.FollowDown_Relay:
		go c.f.relay(ctx, body.Relay)
	}
	return nil
}

// takeWelcome notes that control accepted this incarnation. If it knows a newer
// one, a process that was never accepted takes the next number: its clock may
// have fallen back over the restart. One that was accepted has been replaced.
func (c *connection) takeWelcome(m *messenger.Welcome) error {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := m.GetNewerIncarnation()
	if newer == 0 || newer == f.self.Incarnation {
		if !f.announced {
			f.announced = true
			close(f.settled)
		}
		return nil
	}
	if !f.announced {
		f.self.Incarnation = newer + 1
		return errNewer
	}
	if !f.superseded {
		f.superseded = true
		f.Log.Emit(time.Now(), logger.MemberSuperseded, "", logger.F("member", f.self.Name), logger.F("newer", newer))
	}
	return nil
}

func (c *connection) takeSnapshot(m *messenger.Snapshot) error {
	c.parts = append(c.parts, m)
	if m.GetMore() {
		return nil
	}
	parts := c.parts
	c.parts = nil
	var changes []registrar.Change
	for _, part := range parts {
		for _, data := range part.GetContracts() {
			contract, err := translator.ContractFrom(data)
			if err != nil {
				return err
			}
			changes = append(changes, registrar.Change{Contract: &contract})
		}
		for _, info := range part.GetMarks() {
			mark := translator.MarkFrom(info)
			changes = append(changes, registrar.Change{Mark: &mark})
		}
		for _, info := range part.GetMembers() {
			member := translator.MemberFrom(info)
			changes = append(changes, registrar.Change{Member: &member})
		}
	}
	if m.GetIndex() < c.f.view.Load().Index {
		return errFell
	}
	c.f.install(registrar.View{}.WithChanges(m.GetIndex(), changes...))
	return nil
}

func (c *connection) takeChanges(m *messenger.Changes) error {
	view := *c.f.view.Load()
	if m.GetIndex() <= view.Index {
		return nil
	}
	var changes []registrar.Change
	for _, info := range m.GetChanges() {
		change, err := translator.ChangeFrom(info)
		if err != nil {
			return err
		}
		if change.Index > view.Index {
			changes = append(changes, change)
		}
	}
	c.f.install(view.WithChanges(m.GetIndex(), changes...))
	return nil
}

// install makes view the newest one. Only the connection's reader calls it, and
// there is only one connection at a time.
func (f *Follower) install(view registrar.View) {
	f.view.Store(&view)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.poke()
}

// takeFresh notes that a quorum has confirmed the view since a heartbeat was sent.
func (c *connection) takeFresh(m *messenger.Fresh, now time.Time) error {
	f := c.f
	view := *f.view.Load()
	if m.GetIndex() < view.Index {
		return errFell
	}
	if m.GetIndex() > view.Index {
		// Nothing changed for followers up to there.
		view.Index = m.GetIndex()
		f.view.Store(&view)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := c.sent[m.GetSequence()]
	if !ok {
		return nil
	}
	for sequence := range c.sent {
		if sequence <= m.GetSequence() {
			delete(c.sent, sequence)
		}
	}
	c.lastFresh = now
	c.index = view.Index
	if at.After(f.freshAt) {
		first := f.freshAt.IsZero()
		f.freshAt = at
		if first {
			close(f.changed)
			f.changed = make(chan struct{})
		}
	}
	return nil
}

func (c *connection) takeLoads(m *messenger.LoadBatch) {
	old := c.f.loads.Load()
	loads := make(map[uint32]uint32)
	if old != nil {
		for ordinal, load := range *old {
			loads[ordinal] = load
		}
	}
	ordinal := uint32(0)
	pairs := m.GetPairs()
	for i := 0; i+1 < len(pairs); i += 2 {
		ordinal += pairs[i]
		loads[ordinal] = pairs[i+1]
	}
	c.f.loads.Store(&loads)
}
