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
	// connection is the stream to one control host.
	connection struct {
		f      *Follower
		stream messenger.DRPCControl_FollowClient
		// sequence counts the heartbeats of this stream, and unconfirmed has the send
		// times of those not confirmed yet; guarded by the follower's mu.
		sequence    uint64
		unconfirmed map[uint64]time.Time
		// lastConfirmed is when the newest confirmation of a heartbeat arrived, or when
		// the stream began; guarded by the follower's mu.
		lastConfirmed time.Time
		// selfVersion and reportVersion are the versions of the description and the
		// report sent last, see Follower; guarded by the follower's mu.
		selfVersion   uint64
		reportVersion uint64
		// parts are the parts of an incomplete snapshot; used only by read.
		parts []*messenger.Snapshot
		// acknowledged is the log index that was sent with the newest heartbeat or
		// received with the newest confirmation; guarded by the follower's mu.
		acknowledged uint64
	}

	// StaleError is returned when a control host has sent no confirmation of a
	// heartbeat by a quorum for longer than Follower.StaleAfter.
	StaleError struct {
		// Address is the control host's.
		Address string
		// For is the time since the last confirmation.
		For time.Duration
	}

	// countedConn is a connection to a control host or an agent that counts its
	// bytes and limits the time of each write.
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

	errNewerIncarnation = errors.New("control knows a newer incarnation of this process")
	errIndexFell        = errors.New("control host sent a lower index")
)

// Error returns a message with the host and the time without a confirmation.
func (e *StaleError) Error() string {
	return "no quorum confirmed the state at control host " + e.Address + " for " + e.For.String()
}

// Unwrap returns nil: staleness has no cause.
func (e *StaleError) Unwrap() error {
	return nil
}

// Read reads into b and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write writes b and counts the bytes. It fails after stallTimeout.
func (c countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// dial connects to a control host or an agent.
func (f *Follower) dial(ctx context.Context, address string) (drpc.Transport, error) {
	d := net.Dialer{Timeout: dialTimeout}
	tr, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	return countedConn{tr, &f.traffic}, nil
}

// follow follows the control host at address until its stream ends or it goes
// without a confirmation for too long. Once ctx ends, it sends goodbye.
func (f *Follower) follow(ctx context.Context, address string) (err error) {
	transport, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(transport)
	defer func() { err = errors.Join(err, conn.Close()) }()
	// The stream outlives ctx, so that goodbye can be sent.
	live, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := messenger.NewDRPCControlClient(conn).Follow(live)
	if err != nil {
		return eris.Wrap(err, "follow")
	}
	c := &connection{f: f, stream: stream, unconfirmed: make(map[uint64]time.Time), lastConfirmed: time.Now()}
	if err := c.sendHello(); err != nil {
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

func (c *connection) sendHello() error {
	f := c.f
	f.mu.Lock()
	c.selfVersion = f.selfVersion
	hello := &messenger.Hello{Member: translator.MemberTo(f.self), Index: f.view.Load().Index}
	f.mu.Unlock()
	return c.send(&messenger.FollowUp{Body: &messenger.FollowUp_Hello{Hello: hello}})
}

// write sends heartbeats and other messages. It ends with goodbye once ctx ends,
// with the reader's error from ended, or with a StaleError.
func (c *connection) write(ctx context.Context, address string, ended <-chan error) error {
	ticker := time.NewTicker(c.f.heartbeatEvery())
	defer ticker.Stop()
	heartbeatDue := true
	for {
		if err := c.sendPending(heartbeatDue); err != nil {
			return err
		}
		if err := c.checkStale(address, time.Now()); err != nil {
			return err
		}
		heartbeatDue = false
		select {
		case <-ctx.Done():
			return c.send(&messenger.FollowUp{Body: &messenger.FollowUp_Goodbye{Goodbye: &messenger.Goodbye{}}})
		case err := <-ended:
			return err
		case <-ticker.C:
			heartbeatDue = true
		case <-c.f.wakeup:
		}
	}
}

// checkStale returns a StaleError if the last confirmation is too old.
func (c *connection) checkStale(address string, now time.Time) error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if since := now.Sub(c.lastConfirmed); since > c.f.staleAfter() {
		return &StaleError{Address: address, For: since}
	}
	return nil
}

// sendPending sends changed descriptions and reports, relay replies, and a
// heartbeat if one is due or a new index has to be acknowledged.
func (c *connection) sendPending(heartbeatDue bool) error {
	f := c.f
	f.mu.Lock()
	var messages []*messenger.FollowUp
	for _, r := range f.relayReplies {
		messages = append(messages, &messenger.FollowUp{Body: &messenger.FollowUp_Relayed{Relayed: r}})
	}
	f.relayReplies = nil
	if f.selfVersion != c.selfVersion {
		c.selfVersion = f.selfVersion
		messages = append(messages, &messenger.FollowUp{Body: &messenger.FollowUp_Member{Member: translator.MemberTo(f.self)}})
	}
	if f.report != nil && f.reportVersion != c.reportVersion {
		c.reportVersion = f.reportVersion
		messages = append(messages, &messenger.FollowUp{Body: &messenger.FollowUp_Report{Report: f.report}})
	}
	if index := f.view.Load().Index; heartbeatDue || index != c.acknowledged {
		c.acknowledged = index
		c.sequence++
		c.unconfirmed[c.sequence] = time.Now()
		h := &messenger.Heartbeat{Sequence: c.sequence, Index: index}
		messages = append(messages, &messenger.FollowUp{Body: &messenger.FollowUp_Heartbeat{Heartbeat: h}})
	}
	f.mu.Unlock()
	for _, m := range messages {
		if err := c.send(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *connection) send(m *messenger.FollowUp) error {
	return eris.Wrap(c.stream.Send(m), "send to control host")
}

// read handles the control host's messages until the stream ends.
func (c *connection) read(ctx context.Context) error {
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return eris.Wrap(err, "receive from control host")
		}
		if err := c.handle(ctx, m); err != nil {
			return err
		}
	}
}

func (c *connection) handle(ctx context.Context, m *messenger.FollowDown) error {
	switch body := m.GetBody().(type) {
	case *messenger.FollowDown_Welcome:
		return c.handleWelcome(body.Welcome)
	case *messenger.FollowDown_Snapshot:
		return c.handleSnapshot(body.Snapshot)
	case *messenger.FollowDown_Changes:
		return c.handleChanges(body.Changes)
	case *messenger.FollowDown_Fresh:
		return c.handleFresh(body.Fresh, time.Now())
	case *messenger.FollowDown_Loads:
		c.handleLoads(body.Loads)
	case *messenger.FollowDown_Relay:
		go c.f.relay(ctx, body.Relay)
	}
	return nil
}

// handleWelcome records that control accepted this incarnation. If control knows a
// newer one, a process that was never accepted takes the next number and reconnects,
// as its clock may have gone back over the restart. One that was accepted is
// superseded.
func (c *connection) handleWelcome(m *messenger.Welcome) error {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := m.GetNewerIncarnation()
	if newer == 0 || newer == f.self.Incarnation {
		if !f.isAccepted {
			f.isAccepted = true
			close(f.accepted)
		}
		return nil
	}
	if !f.isAccepted {
		f.self.Incarnation = newer + 1
		return errNewerIncarnation
	}
	if !f.superseded {
		f.superseded = true
		f.Log.Emit(time.Now(), logger.MemberSuperseded, "", logger.F("member", f.self.Name), logger.F("newer", newer))
	}
	return nil
}

// handleSnapshot collects the parts of a snapshot, and replaces the view once it has
// the last one.
func (c *connection) handleSnapshot(m *messenger.Snapshot) error {
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
		return errIndexFell
	}
	c.f.setView(registrar.View{}.WithChanges(m.GetIndex(), changes...))
	return nil
}

// handleChanges applies the changes that the view doesn't have yet.
func (c *connection) handleChanges(m *messenger.Changes) error {
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
	c.f.setView(view.WithChanges(m.GetIndex(), changes...))
	return nil
}

// setView replaces the view and signals the change. Only a connection's reader calls
// it. One connection is open at a time, but follow doesn't wait for the reader of
// the previous one to return.
func (f *Follower) setView(view registrar.View) {
	f.view.Store(&view)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.wake()
}

// handleFresh records that a quorum confirmed the view after a heartbeat was sent.
// From then on the view counts as fresh from that heartbeat's send time.
func (c *connection) handleFresh(m *messenger.Fresh, now time.Time) error {
	f := c.f
	view := *f.view.Load()
	if m.GetIndex() < view.Index {
		return errIndexFell
	}
	if m.GetIndex() > view.Index {
		// The commands between the view's index and this one changed nothing that
		// followers receive.
		view.Index = m.GetIndex()
		f.view.Store(&view)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := c.unconfirmed[m.GetSequence()]
	if !ok {
		return nil
	}
	for sequence := range c.unconfirmed {
		if sequence <= m.GetSequence() {
			delete(c.unconfirmed, sequence)
		}
	}
	c.lastConfirmed = now
	c.acknowledged = view.Index
	if at.After(f.confirmedAt) {
		first := f.confirmedAt.IsZero()
		f.confirmedAt = at
		if first {
			close(f.changed)
			f.changed = make(chan struct{})
		}
	}
	return nil
}

// handleLoads merges newer loads into a copy of those known, which readers of the
// old map don't see change. Pairs are as in messenger.LoadBatch.
func (c *connection) handleLoads(m *messenger.LoadBatch) {
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
