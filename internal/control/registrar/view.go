package registrar

import "maps"

type (
	// Role is what a member does in the system.
	Role string

	// BackendKind is the kind of an agent's backend server.
	BackendKind string

	// Member is one announced entry or agent. A restart makes a new incarnation of
	// the same member.
	Member struct {
		// Name is unique; for an agent it is its backend server's name.
		Name string `json:"name"`
		Role Role   `json:"role"`
		// Address is the IP number and port of the member's drpc listener.
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		Region        string `json:"region"`
		// Incarnation grows with each restart.
		Incarnation uint64 `json:"incarnation"`
		// Backend is set for agents.
		Backend Backend `json:"backend"`
		// JoinedAt is when this incarnation joined, in Unix nanoseconds.
		JoinedAt int64 `json:"joinedAt"`
		// Ordinal is a number from 1 on that control assigns to each name, by which
		// loads are sent; 0 if not yet assigned.
		Ordinal uint32 `json:"ordinal,omitempty"`
	}

	// Backend describes an agent's backend server, as announced.
	Backend struct {
		Kind BackendKind `json:"kind"`
		// Models are the loaded models of an engine.
		Models []LoadedModel `json:"models,omitempty"`
		// Service is the name of a plain service.
		Service string `json:"service,omitempty"`
		// MemoryTokens is an engine's memory in tokens.
		MemoryTokens uint64 `json:"memoryTokens,omitempty"`
		// ChecksFences is set if the engine rejects old fencing numbers.
		ChecksFences bool `json:"checksFences,omitempty"`
	}

	// LoadedModel is a model, adapter and version that an engine serves.
	LoadedModel struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}

	// Mark states whether a backend server is to leave service for cleaning.
	Mark struct {
		Server string `json:"server"`
		// Number counts the accepted marks of this server and never falls.
		Number  uint64 `json:"number"`
		Leaving bool   `json:"leaving"`
		// By and At are those of the SetMark.
		By string `json:"by"`
		At int64  `json:"at"`
	}

	// View is the part of the replicated state that entries and agents receive. It
	// is immutable: the With methods return a changed copy.
	View struct {
		// Index is the log index up to which the view includes all changes.
		Index uint64
		// contracts are by workspace, members by name and marks by server. The
		// values that they point to never change.
		contracts *contractShards
		members   map[string]*Member
		marks     map[string]*Mark
		// workspaces are by key hash, derived from contracts.
		workspaces *keyShards
	}
)

// Roles of members and kinds of backend servers.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"

	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Contract returns a workspace's contract.
func (v View) Contract(workspace string) (Contract, bool) {
	c, ok := v.contracts.get(workspace)
	if !ok {
		return Contract{}, false
	}
	return *c, true
}

// ContractByKey returns the contract that an API key belongs to.
func (v View) ContractByKey(key string) (Contract, bool) {
	workspace, ok := v.workspaces.get(HashKey(key))
	if !ok {
		return Contract{}, false
	}
	return v.Contract(workspace)
}

// EachContract calls f for each contract, in no order.
func (v View) EachContract(f func(Contract)) {
	if v.contracts == nil {
		return
	}
	for _, shard := range v.contracts {
		for _, c := range shard {
			f(*c)
		}
	}
}

// EachMember calls f for each member, in no order.
func (v View) EachMember(f func(Member)) {
	for _, m := range v.members {
		f(*m)
	}
}

// EachMark calls f for the newest mark of each backend server, in no order.
func (v View) EachMark(f func(Mark)) {
	for _, m := range v.marks {
		f(*m)
	}
}

// Mark returns the newest mark of a backend server; the zero Mark if it has none.
func (v View) Mark(server string) Mark {
	if m, ok := v.marks[server]; ok {
		return *m
	}
	return Mark{}
}

// Member returns a member by name.
func (v View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// WithChanges returns a view with the changes applied, at index. It copies each
// map, or each shard, at most once.
func (v View) WithChanges(index uint64, changes ...Change) View {
	v.Index = index
	var contracts, members, marks bool
	for _, c := range changes {
		contracts = contracts || c.Contract != nil
		marks = marks || c.Mark != nil
		members = members || c.Member != nil || c.Removed != ""
	}
	var edit *shardEdit
	if contracts {
		edit = newShardEdit(v.contracts, v.workspaces)
		v.contracts, v.workspaces = edit.contracts, edit.keys
	}
	if marks {
		v.marks = clonedMarks(v.marks)
	}
	if members {
		v.members = clonedMembers(v.members)
	}
	for _, c := range changes {
		if c.Contract != nil {
			edit.put(c.Contract)
			continue
		}
		v.put(c)
	}
	return v
}

// WithContract returns a view with c set, at index.
func (v View) WithContract(index uint64, c Contract) View {
	return v.WithChanges(index, Change{Contract: &c})
}

// WithMark returns a view with m set, at index.
func (v View) WithMark(index uint64, m Mark) View {
	return v.WithChanges(index, Change{Mark: &m})
}

// WithMember returns a view with m set, at index.
func (v View) WithMember(index uint64, m Member) View {
	return v.WithChanges(index, Change{Member: &m})
}

// WithoutMember returns a view without a member, at index.
func (v View) WithoutMember(index uint64, name string) View {
	return v.WithChanges(index, Change{Removed: name})
}

// put applies one change of a mark or member in place: v's maps must not be
// shared with another view.
func (v View) put(c Change) {
	switch {
	case c.Mark != nil:
		v.marks[c.Mark.Server] = c.Mark
	case c.Member != nil:
		v.members[c.Member.Name] = c.Member
	case c.Removed != "":
		delete(v.members, c.Removed)
	}
}

// Serves reports whether an engine has a model, adapter and version loaded. An
// empty version matches any.
func (b Backend) Serves(model, adapter, version string) bool {
	for _, m := range b.Models {
		if m.Model == model && m.Adapter == adapter && (version == "" || m.Version == version) {
			return true
		}
	}
	return false
}

func clonedMarks(marks map[string]*Mark) map[string]*Mark {
	if marks == nil {
		return make(map[string]*Mark)
	}
	return maps.Clone(marks)
}

func clonedMembers(members map[string]*Member) map[string]*Member {
	if members == nil {
		return make(map[string]*Member)
	}
	return maps.Clone(members)
}
