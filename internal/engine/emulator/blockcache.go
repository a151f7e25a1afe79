package emulator

import "container/list"

type (
	// blockCache is the engine's memory: blocks of one request alone, and
	// blocks with a hash that several requests may share. A shared block that
	// nobody refers to stays until its room is needed.
	blockCache struct {
		total int
		// private blocks, shared ones in use and idle ones: never over total.
		private int
		shared  map[uint64]*sharedBlock
		// idle holds the hashes of shared blocks without references, the one
		// unused for longest first.
		idle *list.List
		// stored and evicted tell of changes since the last drain.
		stored  []uint64
		evicted []uint64
	}

	sharedBlock struct {
		refs int
		// idle is nil while refs is over 0.
		idle *list.Element
	}
)

func newBlockCache(total int) *blockCache {
	return &blockCache{
		total:  total,
		shared: make(map[uint64]*sharedBlock),
		idle:   list.New(),
	}
}

// acquire refers to a prompt's blocks and takes private blocks beside them; it
// changes nothing if they do not fit.
func (c *blockCache) acquire(hashes []uint64, private int) bool {
	need := private
	idleWanted := 0
	for _, h := range hashes {
		b := c.shared[h]
		switch {
		case b == nil:
			need++
		case b.idle != nil:
			idleWanted++
		}
	}
	if need > c.free()+c.idle.Len()-idleWanted {
		return false
	}
	for _, h := range hashes {
		if b := c.shared[h]; b != nil {
			c.refer(b)
		}
	}
	c.makeRoom(need)
	c.private += private
	for _, h := range hashes {
		if c.shared[h] == nil {
			c.shared[h] = &sharedBlock{refs: 1}
			c.stored = append(c.stored, h)
		}
	}
	return true
}

// drain returns the hashes stored and evicted since the last call.
func (c *blockCache) drain() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}

func (c *blockCache) free() int {
	return c.total - c.private - len(c.shared)
}

// grow takes one more private block.
func (c *blockCache) grow() bool {
	if c.free() == 0 && c.idle.Len() == 0 {
		return false
	}
	c.makeRoom(1)
	c.private++
	return true
}

// hits returns how many of a prompt's first blocks are in memory.
func (c *blockCache) hits(hashes []uint64) int {
	for i, h := range hashes {
		if c.shared[h] == nil {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) makeRoom(n int) {
	for c.free() < n {
		oldest := c.idle.Front()
		hash, _ := c.idle.Remove(oldest).(uint64)
		delete(c.shared, hash)
		c.evicted = append(c.evicted, hash)
	}
}

func (c *blockCache) refer(b *sharedBlock) {
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
}

// release gives a request's blocks back. Shared ones stay as idle, the last of
// the prompt to be evicted first.
func (c *blockCache) release(hashes []uint64, private int) {
	c.private -= private
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.shared[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(hashes[i])
		}
	}
}

// used returns the blocks that can't be evicted.
func (c *blockCache) used() int {
	return c.private + len(c.shared) - c.idle.Len()
}
