package distributor

import (
	"cmp"
	"slices"

	"verbenareach/internal/wire/messenger"
)

type (
	// loadBoard holds the newest load of each agent, by member ordinal. It is
	// soft state: lost with the process and soon filled again.
	loadBoard struct {
		// sequence grows with each change.
		sequence uint64
		loads    map[uint32]postedLoad
	}

	postedLoad struct {
		load     uint32
		sequence uint64
		// own tells that the agent follows this host.
		own bool
	}
)

// batch returns the loads that changed after a sequence, only own ones if own is set.
func (b *loadBoard) batch(after uint64, own bool) *messenger.LoadBatch {
	var ordinals []uint32
	for ordinal, l := range b.loads {
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
		m.Pairs = append(m.Pairs, ordinal-last, b.loads[ordinal].load)
		last = ordinal
	}
	return m
}

// disown notes that an agent no longer follows this host: what other hosts say
// of it counts again.
func (b *loadBoard) disown(ordinal uint32) {
	if l, ok := b.loads[ordinal]; ok {
		l.own = false
		b.loads[ordinal] = l
	}
}

// post notes an agent's load. What the agent itself said goes before what
// another host passed on.
func (b *loadBoard) post(ordinal, load uint32, own bool) {
	old, known := b.loads[ordinal]
	if known && (old.own && !own || old.load == load && old.own == own) {
		return
	}
	if b.loads == nil {
		b.loads = make(map[uint32]postedLoad)
	}
	b.sequence++
	b.loads[ordinal] = postedLoad{load: load, sequence: b.sequence, own: own}
}

// postBatch notes the loads that another control host passed on.
func (b *loadBoard) postBatch(m *messenger.LoadBatch) {
	ordinal := uint32(0)
	pairs := m.GetPairs()
	for i := 0; i+1 < len(pairs); i += 2 {
		ordinal += pairs[i]
		b.post(ordinal, pairs[i+1], false)
	}
}
