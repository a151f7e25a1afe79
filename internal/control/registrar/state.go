package registrar

import (
	"encoding/json"
	"slices"
	"time"
)

type (
	// State is the replicated state of the control hosts. Apply executes the log's
	// commands in order; equal commands lead to equal states on every host. It isn't
	// safe for concurrent use.
	State struct {
		// index is the highest log index applied; it never falls.
		index uint64
		// elapsed is the sum of all ticks. All rules measure time by it, so that no
		// host's clock can end claims or leases early.
		elapsed time.Duration
		// ticks counts the accepted ticks.
		ticks     uint64
		contracts contractTable
		marks     markTable
		members   memberTable
		claims    claimTable
		fences    fenceTable
		view      View
	}

	// Tick advances the elapsed time by up to MaxTick. Only the tick whose number
	// follows the last accepted one has an effect, so any host may propose it.
	Tick struct {
		Number  uint64   `json:"number"`
		Elapsed Duration `json:"elapsed"`
	}

	// RenewHost extends the lease under which a control host keeps its members.
	RenewHost struct {
		Host string `json:"host"`
	}
)

// MaxTick is the most time that one tick may count.
const MaxTick = 15 * time.Second

// NewState returns the state before the first command.
func NewState() *State {
	s := &State{}
	s.contracts.init()
	s.marks.init()
	s.members.init()
	s.claims.init()
	s.fences.init()
	return s
}

// Apply executes an encoded command and returns the encoded Result and the
// changes for followers. An index that was applied before changes nothing and
// returns nil.
func (s *State) Apply(index uint64, command []byte) (result []byte, changes []Change) {
	if index <= s.index {
		return nil, nil
	}
	s.index = index
	c, err := DecodeCommand(command)
	if err != nil {
		c = Command{}
	}
	r, changes := s.apply(c)
	for i := range changes {
		changes[i].Index = index
	}
	s.view = s.view.WithChanges(index, changes...)
	result, err = json.Marshal(r)
	if err != nil {
		result = []byte(`{"unknown":true}`)
	}
	return result, changes
}

// Elapsed returns the sum of all ticks.
func (s *State) Elapsed() time.Duration {
	return s.elapsed
}

// ExpireCommands returns, for each member of a control host, the command that
// would remove it, sorted by name.
func (s *State) ExpireCommands(host string) []ExpireMember {
	return s.members.expireCommands(host)
}

// History returns the kept changes of a workspace's contract, oldest first.
func (s *State) History(workspace string) []Record {
	return slices.Clone(s.contracts.records[workspace])
}

// Index returns the highest log index applied.
func (s *State) Index() uint64 {
	return s.index
}

// Ticks returns the number of the newest accepted tick.
func (s *State) Ticks() uint64 {
	return s.ticks
}

// View returns the part of the state that followers receive.
func (s *State) View() View {
	return s.view
}

func (s *State) apply(c Command) (Result, []Change) {
	switch {
	case c.PutContract != nil:
		r, changes := s.contracts.put(s.index, *c.PutContract)
		return Result{Contract: &r}, changes
	case c.SetMark != nil:
		r, changes := s.marks.set(*c.SetMark)
		return Result{Mark: &r}, changes
	case c.Announce != nil:
		r, changes := s.members.announce(s.elapsed, *c.Announce)
		return Result{Member: &r}, changes
	case c.Expire != nil:
		r, changes := s.members.expire(*c.Expire)
		return Result{Member: &r}, changes
	case c.Claim != nil:
		r := s.claims.claim(s.index, s.elapsed, s.retention(c.Claim.Claim.Workspace), *c.Claim)
		return Result{Claim: &r}, nil
	case c.Outcome != nil:
		r := s.claims.recordOutcome(s.elapsed, s.retention(c.Outcome.Claim.Workspace), *c.Outcome)
		return Result{Claim: &r}, nil
	case c.Refuse != nil:
		r := s.claims.refuse(*c.Refuse)
		return Result{Claim: &r}, nil
	case c.Fence != nil:
		r := s.fences.issue(s.index, s.elapsed, *c.Fence)
		return Result{Fence: &r}, nil
	case c.FinishLoad != nil:
		r := s.fences.finish(*c.FinishLoad)
		return Result{Fence: &r}, nil
	case c.Tick != nil:
		return Result{}, s.tick(*c.Tick)
	case c.Renew != nil:
		s.members.renew(s.elapsed, c.Renew.Host)
		return Result{}, nil
	}
	return Result{Unknown: true}, nil
}

// retention returns how long a workspace's claims are kept.
func (s *State) retention(workspace string) time.Duration {
	c, ok := s.contracts.current(workspace)
	if !ok || c.Retention <= 0 {
		return DefaultRetention
	}
	return time.Duration(c.Retention)
}

func (s *State) tick(t Tick) []Change {
	if t.Number != s.ticks+1 {
		return nil
	}
	s.ticks = t.Number
	s.elapsed += min(max(time.Duration(t.Elapsed), 0), MaxTick)
	s.claims.expire(s.elapsed)
	s.fences.expire(s.elapsed)
	return s.members.expireHosts(s.elapsed)
}
