package router

// hintServers is how many servers one block of a prefix is remembered for.
const hintServers = 3

type (
	// prefixIndex remembers which servers have had a prompt's first blocks. It
	// holds blocks at a few depths only, and is a hint: a server may have
	// evicted them since.
	prefixIndex struct {
		max int
		// young takes new hints; when it is full it becomes old, and the hints
		// not used since the last turn are forgotten.
		young map[uint64]hint
		old   map[uint64]hint
	}

	// hint holds servers, the one seen last first; slot 0 is none.
	hint [hintServers]place

	// place is a server by its slot, valid while the slot's epoch is the same.
	place struct {
		slot  uint16
		epoch uint16
	}
)

func newPrefixIndex(maxHints int) *prefixIndex {
	return &prefixIndex{max: maxHints, young: make(map[uint64]hint)}
}

// add remembers that a server has the block.
func (x *prefixIndex) add(block uint64, p place) {
	h, _ := x.get(block)
	if h[0] == p {
		return
	}
	last := p
	for i := range h {
		h[i], last = last, h[i]
		if last.slot == p.slot {
			break
		}
	}
	x.put(block, h)
}

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

func (x *prefixIndex) put(block uint64, h hint) {
	if len(x.young) >= x.max/2 {
		if _, ok := x.young[block]; !ok {
			x.old = x.young
			x.young = make(map[uint64]hint, len(x.old))
		}
	}
	x.young[block] = h
}

// remove forgets that a server has the block.
func (x *prefixIndex) remove(block uint64, slot uint16) {
	h, ok := x.get(block)
	if !ok {
		return
	}
	for i := range h {
		if h[i].slot == slot {
			copy(h[i:], h[i+1:])
			h[hintServers-1] = place{}
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
