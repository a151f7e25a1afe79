package distributor

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

type (
	// session is one follower's open stream. Its fields below mu are guarded by
	// the distributor's mu.
	session struct {
		d      *Distributor
		stream messenger.DRPCControl_FollowStream
		// woken holds one item if the writer has something to look at.
		woken chan struct{}
		// announcements holds the newest description that is to be announced.
		announcements chan registrar.Member

		member registrar.Member
		// heard is the highest sequence of the follower's heartbeats, fresh the
		// highest that a quorum has confirmed.
		heard uint64
		fresh uint64
		// welcome is set once the announcement is committed or refused.
		welcome *messenger.Welcome
		relays  []*messenger.RelayMark
		// superseded tells that a newer session of the same member is open.
		superseded bool
	}

	// sent is what the writer has sent so far; only the writer uses it.
	sent struct {
		index     uint64
		fresh     uint64
		loads     uint64
		loadsNext time.Time
	}

	// outgoing is what the writer has to send next.
	outgoing struct {
		view     registrar.View
		changes  []published
		snapshot bool
		fresh    uint64
		welcome  *messenger.Welcome
		relays   []*messenger.RelayMark
		loads    *messenger.LoadBatch
		closed   bool
	}
)

const (
	// partBytes bounds the contracts in one part of a snapshot or of changes.
	partBytes = 256 << 10
	// changesEvery is the least time between two batches of changes: when many
	// members come at once, each follower takes them in few batches.
	changesEvery = 50 * time.Millisecond
	// announceRetry is the wait after a failed announcement.
	announceRetry = 500 * time.Millisecond
)

// Follow serves one follower until its stream ends or it falls silent.
func (d *Distributor) Follow(stream messenger.DRPCControl_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return eris.Wrap(err, "follower's first message")
	}
	hello := first.GetHello()
	if hello.GetMember().GetName() == "" {
		return eris.New("the first message of a follower must be hello with a name")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{
		d: d, stream: stream, woken: make(chan struct{}, 1),
		announcements: make(chan registrar.Member, 1), member: translator.MemberFrom(hello.GetMember()),
	}
	if err := d.open(s, hello.GetIndex(), time.Now()); err != nil {
		return err
	}
	defer d.close(s)
	s.announcements <- s.member
	go s.announce(ctx)
	go func() {
		defer cancel()
		s.read()
	}()
	return s.write(ctx, sent{index: hello.GetIndex()})
}

// open registers a session. An older one of the same member ends.
func (d *Distributor) open(s *session, index uint64, now time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if len(d.sessions) >= maxFollowers {
		return eris.Errorf("%s has %d followers already", d.Host, len(d.sessions))
	}
	for other := range d.sessions {
		if other.member.Name == s.member.Name && other.member.Incarnation <= s.member.Incarnation {
			other.superseded = true
			other.wake()
		}
	}
	d.sessions[s] = struct{}{}
	old := d.held[s.member.Name]
	if old == nil || old.member.Incarnation <= s.member.Incarnation {
		h := &heldMember{member: s.member, heard: now, index: index}
		if old != nil {
			h.hold = old.hold
		}
		d.held[s.member.Name] = h
	}
	d.Log.Emit(now, logger.FollowerConnected, "", logger.F("member", s.member.Name),
		logger.F("incarnation", s.member.Incarnation), logger.F("index", index))
	return nil
}

func (d *Distributor) close(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, s)
	if m, ok := d.view.Member(s.member.Name); ok && !s.superseded {
		d.loads.disown(m.Ordinal)
	}
	d.Log.Emit(time.Now(), logger.FollowerGone, "", logger.F("member", s.member.Name),
		logger.F("incarnation", s.member.Incarnation))
}

// announce has the follower's newest description agreed on, until ctx ends.
func (s *session) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.announcements:
			for !s.announceOnce(ctx, m) {
				if !sleep(ctx, announceRetry) {
					return
				}
			}
		}
	}
}

func (s *session) announceOnce(ctx context.Context, m registrar.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	a := registrar.Announce{Member: m, Host: s.d.Host, At: time.Now().UnixNano()}
	result, err := s.d.Propose(ctx, registrar.Command{Announce: &a})
	if err != nil || result.Member == nil {
		return false
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.welcome = &messenger.Welcome{Host: s.d.Host}
	if !result.Member.Accepted {
		s.welcome.NewerIncarnation = result.Member.Incarnation
	}
	if h := s.d.held[m.Name]; h != nil && h.member.Incarnation == m.Incarnation {
		h.member = m
		h.hold = max(h.hold, result.Member.Announcement)
	}
	s.wake()
	return true
}

// read takes the follower's messages until the stream ends.
func (s *session) read() {
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.take(m, time.Now())
	}
}

// take takes one message.
func (s *session) take(m *messenger.FollowUp, now time.Time) {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.held[s.member.Name]
	current := h != nil && h.member.Incarnation == s.member.Incarnation
	if current {
		h.heard = now
	}
	switch body := m.GetBody().(type) {
	case *messenger.FollowUp_Heartbeat:
		s.heard = max(s.heard, body.Heartbeat.GetSequence())
		if current {
			h.index = max(h.index, body.Heartbeat.GetIndex())
		}
		select {
		case d.heartbeats <- struct{}{}:
		default:
		}
	case *messenger.FollowUp_Member:
		changed := translator.MemberFrom(body.Member)
		if changed.Name != s.member.Name || changed.Incarnation != s.member.Incarnation {
			return
		}
		s.member = changed
		s.replaceAnnouncement(changed)
	case *messenger.FollowUp_Report:
		if current {
			h.report = body.Report
			d.postLoad(s.member.Name, body.Report.GetLoad())
		}
	case *messenger.FollowUp_Relayed:
		if waiting, ok := d.waiting[body.Relayed.GetId()]; ok {
			delete(d.waiting, body.Relayed.GetId())
			waiting <- body.Relayed
		}
	case *messenger.FollowUp_Goodbye:
		if current {
			h.heard = time.Time{}
		}
	}
}

// replaceAnnouncement queues m in place of an older description.
func (s *session) replaceAnnouncement(m registrar.Member) {
	select {
	case <-s.announcements:
	default:
	}
	s.announcements <- m
}

// postLoad notes an agent's load; the caller holds mu.
func (d *Distributor) postLoad(name string, load uint32) {
	if m, ok := d.view.Member(name); ok && m.Ordinal != 0 {
		d.loads.post(m.Ordinal, load, true)
	}
}

// wake makes the writer look again. It never blocks.
func (s *session) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// write sends what the follower lacks, until ctx ends.
func (s *session) write(ctx context.Context, done sent) error {
	var loads <-chan time.Time
	if s.member.Role == registrar.RoleEntry {
		ticker := time.NewTicker(s.d.loadsEvery())
		defer ticker.Stop()
		loads = ticker.C
	}
	s.wake()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.woken:
		case <-loads:
		}
		next := s.next(&done, time.Now())
		if next.closed {
			return nil
		}
		if err := s.send(next, &done); err != nil {
			return err
		}
		if len(next.changes) > 0 && !sleep(ctx, changesEvery) {
			return nil
		}
	}
}

// next returns what is to be sent now.
func (s *session) next(done *sent, now time.Time) outgoing {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	out := outgoing{view: d.view, fresh: s.fresh, welcome: s.welcome, relays: s.relays, closed: s.superseded}
	s.welcome, s.relays = nil, nil
	if d.view.Index < done.index {
		// This host is behind its follower: only what is newer may be sent.
		out.view, out.fresh = registrar.View{}, 0
		return out
	}
	changes, kept := d.since(done.index)
	out.changes, out.snapshot = changes, !kept
	if s.member.Role == registrar.RoleEntry && !now.Before(done.loadsNext) {
		out.loads = d.loads.batch(done.loads, false)
		done.loads = d.loads.sequence
		done.loadsNext = now.Add(d.loadsEvery() * 9 / 10)
	}
	return out
}

func (s *session) send(out outgoing, done *sent) error {
	if out.snapshot {
		if err := s.sendSnapshot(out.view); err != nil {
			return err
		}
		done.index = out.view.Index
	} else if len(out.changes) > 0 {
		if err := s.sendChanges(out.view.Index, out.changes); err != nil {
			return err
		}
	}
	if out.view.Index > done.index {
		done.index = out.view.Index
	}
	if out.welcome != nil {
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Welcome{Welcome: out.welcome}}); err != nil {
			return eris.Wrap(err, "send welcome")
		}
	}
	if out.fresh > done.fresh {
		done.fresh = out.fresh
		fresh := &messenger.Fresh{Sequence: out.fresh, Index: out.view.Index}
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Fresh{Fresh: fresh}}); err != nil {
			return eris.Wrap(err, "send freshness")
		}
	}
	for _, relay := range out.relays {
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Relay{Relay: relay}}); err != nil {
			return eris.Wrap(err, "send relay")
		}
	}
	if out.loads != nil {
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Loads{Loads: out.loads}}); err != nil {
			return eris.Wrap(err, "send loads")
		}
	}
	return nil
}

// sendChanges sends changes in parts; a part ends between two indexes.
func (s *session) sendChanges(index uint64, changes []published) error {
	part, size := &messenger.Changes{}, 0
	for i, c := range changes {
		part.Changes = append(part.Changes, c.message)
		size += len(c.message.GetContract()) + 100
		last := i == len(changes)-1
		if !last && (size < partBytes || changes[i+1].index == c.index) {
			continue
		}
		part.Index = c.index
		if last {
			part.Index = index
		}
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Changes{Changes: part}}); err != nil {
			return eris.Wrap(err, "send changes")
		}
		part, size = &messenger.Changes{}, 0
	}
	return nil
}

// sendSnapshot sends the whole view in parts.
func (s *session) sendSnapshot(view registrar.View) error {
	part := &messenger.Snapshot{Index: view.Index}
	view.EachMark(func(m registrar.Mark) { part.Marks = append(part.Marks, translator.MarkTo(m)) })
	view.EachMember(func(m registrar.Member) { part.Members = append(part.Members, translator.MemberTo(m)) })
	var err error
	size := 0
	view.EachContract(func(c registrar.Contract) {
		if err != nil {
			return
		}
		var data []byte
		if data, err = translator.ContractTo(c); err != nil {
			return
		}
		part.Contracts = append(part.Contracts, data)
		if size += len(data); size < partBytes {
			return
		}
		part.More = true
		err = s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Snapshot{Snapshot: part}})
		part, size = &messenger.Snapshot{Index: view.Index}, 0
	})
	if err != nil {
		return eris.Wrap(err, "send snapshot")
	}
	return eris.Wrap(s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Snapshot{Snapshot: part}}), "send snapshot")
}

func (d *Distributor) loadsEvery() time.Duration {
	if d.LoadsEvery > 0 {
		return d.LoadsEvery
	}
	return defaultLoadsEvery
}
