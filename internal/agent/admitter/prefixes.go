package admitter

import "verbenareach/internal/prompt/hasher"

type (
	// prefixes counts the references of admitted generations to prompt blocks,
	// since the engine stores a shared block only once. The memory of a block is
	// counted with its first user.
	prefixes struct {
		// blocks holds the blocks in use by hash. A hash covers the prompt up to the
		// block's end, so only leading blocks can be shared.
		blocks map[uint64]*prefixBlock
		// orphans counts the blocks whose first user has ended while others remain.
		// No generation's own memory includes them.
		orphans int
	}

	prefixBlock struct {
		// refs counts the generations that use the block; at least 1.
		refs int
		// orphaned is set if the block counts in prefixes.orphans.
		orphaned bool
	}
)

func newPrefixes() prefixes {
	return prefixes{blocks: make(map[uint64]*prefixBlock)}
}

// add references a prompt's blocks and returns how many were already in use.
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

// remove drops the references of a generation; its first shared blocks were
// already in use when it was added.
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

// sharedPrefix returns how many of a prompt's leading blocks are in use now.
func (p *prefixes) sharedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if p.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// tokens returns the memory of the orphaned blocks, in tokens.
func (p *prefixes) tokens() int {
	return p.orphans * hasher.BlockTokens
}
