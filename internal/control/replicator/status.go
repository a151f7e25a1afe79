package replicator

type (
	// Status is a host's view of the replicated log and the membership.
	Status struct {
		Name string `json:"name"`
		// ID is the identity of the data folder, empty while the host is not running.
		ID string `json:"id"`
		// Role is follower, preCandidate, candidate or leader.
		Role string `json:"role"`
		Term uint64 `json:"term"`
		// Leader is the leader of the term, the zero Peer while it is unknown.
		Leader  Peer   `json:"leader"`
		Commit  uint64 `json:"commit"`
		Applied uint64 `json:"applied"`
		// First and Last are the indexes of the first and the last entry in the log. Last
		// is First-1 if there is none.
		First   uint64         `json:"first"`
		Last    uint64         `json:"last"`
		Members []MemberStatus `json:"members"`
		// DiskFull is set while the host refuses changes because its disk is full.
		DiskFull bool `json:"diskFull"`
	}

	// MemberStatus is a host's view of a member. Only the leader knows Match, Alive
	// and CaughtUp.
	MemberStatus struct {
		Name    string `json:"name"`
		ID      string `json:"id"`
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
		// Match is the last index that the member is known to hold.
		Match uint64 `json:"match"`
		// Alive is set if the member replied within the election timeout.
		Alive bool `json:"alive"`
		// CaughtUp is set if the member is alive and may become a voter at once.
		CaughtUp bool `json:"caughtUp"`
	}
)

// Status returns the host's present status.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Name: r.Name, Leader: r.leader, Role: r.role.String(), Term: r.term, Commit: r.commit, Applied: r.applied}
	if !r.running {
		return s
	}
	s.ID = r.rec.ID()
	s.First = r.rec.FirstIndex()
	s.Last, _ = r.rec.Last()
	s.DiskFull = r.diskFull
	for _, m := range r.members() {
		status := MemberStatus{Name: m.Name, ID: m.Id, Address: m.Address, Voter: m.Voter}
		if p := r.peers[m.Id]; r.role == leader && p != nil {
			status.Match = p.match
			status.Alive = r.alive(p)
			status.CaughtUp = r.caughtUp(p)
		}
		if r.role == leader && m.Id == s.ID {
			status.Match = r.selfMatch
			status.Alive = true
			status.CaughtUp = true
		}
		s.Members = append(s.Members, status)
	}
	return s
}
