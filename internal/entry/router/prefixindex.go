package router

// serversPerHint is how many servers are kept for one block of a prefix.
const serversPerHint = 3

type (
	// prefixIndex maps blocks of prompt prefixes to servers that have had them in their
	// prefix cache. It holds blocks at a few depths only, and its entries are hints: a
	// server may have evicted the blocks since.
	prefixIndex struct {
		// max bounds the number of hints in young and old together.
		max int
		// young gets new and used hints. When it is full it replaces old, and the hints
		// of old that were not used meanwhile are dropped.
		young map[uint64]hint
		old   map[uint64]hint
	}

	// hint holds servers, the latest first; slot 0 means none.
	hint [serversPerHint]serverRef

	// serverRef identifies a server by its slot; it is valid while the slot's epoch is
	// the same.
	serverRef struct {
		slot  uint16
		epoch uint16
	}
)

func newPrefixIndex(maxHints int) *prefixIndex {
	return &prefixIndex{max: maxHints, young: make(map[uint64]hint)}
}

// add records that a server has the block.
func (x *prefixIndex) add(block uint64, ref serverRef) {
	h, _ := x.get(block)
	if h[0] == ref {
		return
	}
	last := ref
	for i := range h {
		h[i], last = last, h[i]
		if last.slot == ref.slot {
			break
		}
	}
	x.put(block, h)
}

// get returns the hint for a block, and keeps it in young.
func (x *prefixIndex) get(block uint64) (hint, bool) {
	if h, ok := x.young[block]; ok {
		return h, true
	}
	h, ok := x.old[block]
	if ok {
		x.put(block, h)
	}
	return h, ok
}

// put stores the hint for a block in young, which replaces old if it is full.
func (x *prefixIndex) put(block uint64, h hint) {
	if len(x.young) >= x.max/2 {
		if _, ok := x.young[block]; !ok {
			x.old = x.young
			x.young = make(map[uint64]hint, len(x.old))
		}
	}
	x.young[block] = h
}

// remove records that a server no longer has the block.
func (x *prefixIndex) remove(block uint64, slot uint16) {
	h, ok := x.get(block)
	if !ok {
		return
	}
	for i := range h {
		if h[i].slot == slot {
			copy(h[i:], h[i+1:])
			h[serversPerHint-1] = serverRef{}
			x.put(block, h)
			return
		}
	}
}

// nextDepth returns the next smaller depth, in blocks, at which prefixes are
// indexed: powers of two and those halfway between them.
func nextDepth(depth int) int {
	for power := 1; ; power *= 2 {
		switch {
		case depth <= power:
			return power / 2 * 3 / 2
		case depth <= power+power/2:
			return power
		}
	}
}
