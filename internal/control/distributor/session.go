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
	// session is one follower's open stream. Its fields from member on are guarded
	// by the distributor's mu, but some reads of the member's name and role don't
	// hold it.
	session struct {
		d      *Distributor
		stream messenger.DRPCControl_FollowStream
		// wakeup holds one item if the writer may have something to send.
		wakeup chan struct{}
		// announcements holds the newest description that has yet to be announced.
		announcements chan registrar.Member

		member registrar.Member
		// lastHeartbeat is the highest sequence of the follower's heartbeats, and
		// confirmed the highest that a quorum read has confirmed.
		lastHeartbeat uint64
		confirmed     uint64
		// welcome is set once an announcement is committed or refused, until the writer
		// takes it. relays are the marks to relay that the writer has yet to take.
		welcome *messenger.Welcome
		relays  []*messenger.RelayMark
		// superseded is set once a newer session of the same member is open.
		superseded bool
	}

	// sendProgress records what the writer has sent; only the writer uses it.
	sendProgress struct {
		// index is the log index up to which the follower has all changes.
		index uint64
		// confirmed is the highest heartbeat sequence whose confirmation was sent.
		confirmed uint64
		// loads is the load table's sequence as of the last batch, and nextLoads the
		// earliest time of the next.
		loads     uint64
		nextLoads time.Time
	}

	// outgoing is what the writer sends next.
	outgoing struct {
		view    registrar.View
		changes []publishedChange
		// snapshot is set if the whole view is sent instead of changes.
		snapshot  bool
		confirmed uint64
		welcome   *messenger.Welcome
		relays    []*messenger.RelayMark
		loads     *messenger.LoadBatch
		// closed is set if the stream is to end, as a newer session replaces it.
		closed bool
	}
)

const (
	// partBytes is the size in bytes at which a part of a snapshot or of changes
	// ends. Contracts count with their encoded size, and each change as 100 more.
	partBytes = 256 << 10
	// changesEvery is the least time between two batches of changes: when many
	// members join at once, each follower receives them in few batches.
	changesEvery = 50 * time.Millisecond
	// announceRetry is the wait after a failed announcement.
	announceRetry = 500 * time.Millisecond
)

// Follow serves one follower until its stream ends or a newer session of the same
// member replaces it.
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
		d: d, stream: stream, wakeup: make(chan struct{}, 1),
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
		s.receive()
	}()
	return s.write(ctx, sendProgress{index: hello.GetIndex()})
}

// open registers a session. It supersedes the open sessions of the same member whose
// incarnation is not newer. It fails if the host has maxFollowers sessions.
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
	old := d.followers[s.member.Name]
	if old == nil || old.member.Incarnation <= s.member.Incarnation {
		record := &followerRecord{member: s.member, lastMessage: now, acknowledged: index}
		if old != nil {
			record.announcement = old.announcement
		}
		d.followers[s.member.Name] = record
	}
	d.Log.Emit(now, logger.FollowerConnected, "", logger.F("member", s.member.Name),
		logger.F("incarnation", s.member.Incarnation), logger.F("index", index))
	return nil
}

// close removes a session. Unless a newer session has replaced it, loads of its agent
// that other hosts forward are accepted again.
func (d *Distributor) close(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sessions, s)
	if m, ok := d.view.Member(s.member.Name); ok && !s.superseded {
		d.loads.clearOwn(m.Ordinal)
	}
	d.Log.Emit(time.Now(), logger.FollowerDisconnected, "", logger.F("member", s.member.Name),
		logger.F("incarnation", s.member.Incarnation))
}

// announce commits each new description of the follower, until ctx ends.
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

// announceOnce proposes a description and has the welcome sent, also if a newer
// incarnation is known. It returns false if the proposal has to be repeated.
func (s *session) announceOnce(ctx context.Context, m registrar.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	a := registrar.AnnounceMember{Member: m, Host: s.d.Host, At: time.Now().UnixNano()}
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
	if record := s.d.followers[m.Name]; record != nil && record.member.Incarnation == m.Incarnation {
		record.member = m
		record.announcement = max(record.announcement, result.Member.Announcement)
	}
	s.wake()
	return true
}

// receive handles the follower's messages until the stream ends.
func (s *session) receive() {
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.handle(m, time.Now())
	}
}

// handle processes one message. A session whose incarnation is not the newest doesn't
// change the follower's record. Goodbye makes the follower count as silent, so that
// it is removed at the next check.
func (s *session) handle(m *messenger.FollowUp, now time.Time) {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.followers[s.member.Name]
	current := record != nil && record.member.Incarnation == s.member.Incarnation
	if current {
		record.lastMessage = now
	}
	switch body := m.GetBody().(type) {
	case *messenger.FollowUp_Heartbeat:
		s.lastHeartbeat = max(s.lastHeartbeat, body.Heartbeat.GetSequence())
		if current {
			record.acknowledged = max(record.acknowledged, body.Heartbeat.GetIndex())
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
			record.report = body.Report
			d.setLoad(s.member.Name, body.Report.GetLoad())
		}
	case *messenger.FollowUp_Relayed:
		if waiting, ok := d.pendingRelays[body.Relayed.GetId()]; ok {
			delete(d.pendingRelays, body.Relayed.GetId())
			waiting <- body.Relayed
		}
	case *messenger.FollowUp_Goodbye:
		if current {
			record.lastMessage = time.Time{}
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

// setLoad records an agent's own load; the caller holds mu.
func (d *Distributor) setLoad(name string, load uint32) {
	if m, ok := d.view.Member(name); ok && m.Ordinal != 0 {
		d.loads.set(m.Ordinal, load, true)
	}
}

// wake wakes the writer. It never blocks.
func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// write sends the follower all that it has not received yet, until ctx ends, a send
// fails or a newer session replaces this one.
func (s *session) write(ctx context.Context, sent sendProgress) error {
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
		case <-s.wakeup:
		case <-loads:
		}
		next := s.next(&sent, time.Now())
		if next.closed {
			return nil
		}
		if err := s.send(next, &sent); err != nil {
			return err
		}
		if len(next.changes) > 0 && !sleep(ctx, changesEvery) {
			return nil
		}
	}
}

// next returns what to send now, and takes the welcome, the relays and the loads.
func (s *session) next(sent *sendProgress, now time.Time) outgoing {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	out := outgoing{view: d.view, confirmed: s.confirmed, welcome: s.welcome, relays: s.relays, closed: s.superseded}
	s.welcome, s.relays = nil, nil
	if d.view.Index < sent.index {
		// This host is behind its follower: it sends no state and confirms nothing
		// until it has caught up.
		out.view, out.confirmed = registrar.View{}, 0
		return out
	}
	changes, kept := d.changesSince(sent.index)
	out.changes, out.snapshot = changes, !kept
	if s.member.Role == registrar.RoleEntry && !now.Before(sent.nextLoads) {
		out.loads = d.loads.batch(sent.loads, false)
		sent.loads = d.loads.sequence
		// Below the ticker's period, so that no tick comes just too early.
		sent.nextLoads = now.Add(d.loadsEvery() * 9 / 10)
	}
	return out
}

// send sends out and updates sent. A confirmation follows the changes that it covers.
func (s *session) send(out outgoing, sent *sendProgress) error {
	if out.snapshot {
		if err := s.sendSnapshot(out.view); err != nil {
			return err
		}
		sent.index = out.view.Index
	} else if len(out.changes) > 0 {
		if err := s.sendChanges(out.view.Index, out.changes); err != nil {
			return err
		}
	}
	if out.view.Index > sent.index {
		sent.index = out.view.Index
	}
	if out.welcome != nil {
		if err := s.stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Welcome{Welcome: out.welcome}}); err != nil {
			return eris.Wrap(err, "send welcome")
		}
	}
	if out.confirmed > sent.confirmed {
		sent.confirmed = out.confirmed
		fresh := &messenger.Fresh{Sequence: out.confirmed, Index: out.view.Index}
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

// sendChanges sends changes in parts; the changes of one index stay in one part. index
// is the view's and goes with the last part.
func (s *session) sendChanges(index uint64, changes []publishedChange) error {
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

// sendSnapshot sends the whole view in parts, all marks and members in the first.
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
