package distributor

import (
	"cmp"
	"slices"

	"verbenareach/internal/wire/messenger"
)

type (
	// loadTable holds the newest load of each agent, by member ordinal, packed as by
	// follower.PackLoad. It is soft state: a restart loses it, and the agents' next
	// reports refill it.
	loadTable struct {
		// sequence counts the changes.
		sequence uint64
		loads    map[uint32]loadEntry
	}

	loadEntry struct {
		load uint32
		// sequence is the table's sequence at the last change.
		sequence uint64
		// own is set if the agent follows this host.
		own bool
	}
)

// batch returns the loads that changed after a sequence, only own ones if own is set;
// nil if there are none.
func (t *loadTable) batch(after uint64, own bool) *messenger.LoadBatch {
	var ordinals []uint32
	for ordinal, l := range t.loads {
		if l.sequence > after && (l.own || !own) {
			ordinals = append(ordinals, ordinal)
		}
	}
	if len(ordinals) == 0 {
		return nil
	}
	slices.SortFunc(ordinals, cmp.Compare)
	m := &messenger.LoadBatch{Pairs: make([]uint32, 0, 2*len(ordinals))}
	last := uint32(0)
	for _, ordinal := range ordinals {
		m.Pairs = append(m.Pairs, ordinal-last, t.loads[ordinal].load)
		last = ordinal
	}
	return m
}

// clearOwn records that an agent no longer follows this host, so that loads
// forwarded by other hosts are accepted again.
func (t *loadTable) clearOwn(ordinal uint32) {
	if l, ok := t.loads[ordinal]; ok {
		l.own = false
		t.loads[ordinal] = l
	}
}

// set records an agent's load. A load from the agent itself, own, takes precedence
// over one forwarded by another host.
func (t *loadTable) set(ordinal, load uint32, own bool) {
	old, known := t.loads[ordinal]
	if known && (old.own && !own || old.load == load && old.own == own) {
		return
	}
	if t.loads == nil {
		t.loads = make(map[uint32]loadEntry)
	}
	t.sequence++
	t.loads[ordinal] = loadEntry{load: load, sequence: t.sequence, own: own}
}

// setBatch records the loads that another control host forwarded.
func (t *loadTable) setBatch(m *messenger.LoadBatch) {
	ordinal := uint32(0)
	pairs := m.GetPairs()
	for i := 0; i+1 < len(pairs); i += 2 {
		ordinal += pairs[i]
		t.set(ordinal, pairs[i+1], false)
	}
}
