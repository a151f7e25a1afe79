package admitter

import "verbenareach/internal/prompt/hasher"

type (
	// prefixes counts which prompt blocks the running generations share, since
	// the engine holds a shared block once.
	prefixes struct {
		blocks map[uint64]*prefixBlock
		// orphans counts the blocks whose first user is gone while others stay.
		orphans int
	}

	prefixBlock struct {
		refs     int
		orphaned bool
	}
)

func newPrefixes() prefixes {
	return prefixes{blocks: make(map[uint64]*prefixBlock)}
}

// add refers to a prompt's blocks and returns how many others refer to already.
func (p *prefixes) add(hashes []uint64) (shared int) {
	for _, h := range hashes {
		b := p.blocks[h]
		if b == nil {
			p.blocks[h] = &prefixBlock{refs: 1}
			continue
		}
		b.refs++
		shared++
	}
	return shared
}

// remove drops the references of a generation of which the first shared blocks
// were others' already.
func (p *prefixes) remove(hashes []uint64, shared int) {
	for i, h := range hashes {
		b := p.blocks[h]
		b.refs--
		switch {
		case b.refs == 0:
			if b.orphaned {
				p.orphans--
			}
			delete(p.blocks, h)
		case i >= shared && !b.orphaned:
			b.orphaned = true
			p.orphans++
		}
	}
}

// sharedOf returns how many of a prompt's blocks are in use now.
func (p *prefixes) sharedOf(hashes []uint64) int {
	for i, h := range hashes {
		if p.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// tokens returns the memory of orphaned blocks.
func (p *prefixes) tokens() int {
	return p.orphans * hasher.BlockTokens
}
