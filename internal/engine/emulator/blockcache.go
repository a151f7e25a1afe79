package emulator

import "container/list"

type (
	// blockCache is the engine's KV cache memory: private blocks that belong to one
	// request, and blocks with a hash that several requests may share. A shared
	// block without references is idle and stays until its space is needed.
	blockCache struct {
		// total is the number of blocks in memory.
		total int
		// private counts the private blocks; private + len(shared) never exceeds total.
		private int
		shared  map[uint64]*sharedBlock
		// idle holds the hashes of shared blocks without references, least recently
		// used first.
		idle *list.List
		// stored and evicted hold the hashes of changes since the last takeChanges.
		stored  []uint64
		evicted []uint64
	}

	sharedBlock struct {
		refs int
		// idleElement is the element in the cache's idle list; nil while refs is over 0.
		idleElement *list.Element
	}
)

func newBlockCache(total int) *blockCache {
	return &blockCache{
		total:  total,
		shared: make(map[uint64]*sharedBlock),
		idle:   list.New(),
	}
}

// acquire adds a reference to each of a prompt's blocks, allocating those that aren't
// cached, and allocates private blocks as well. If they don't fit it changes nothing and
// returns false.
func (c *blockCache) acquire(hashes []uint64, private int) bool {
	need := private
	idleHits := 0
	for _, h := range hashes {
		b := c.shared[h]
		switch {
		case b == nil:
			need++
		case b.idleElement != nil:
			idleHits++
		}
	}
	if need > c.free()+c.idle.Len()-idleHits {
		return false
	}
	for _, h := range hashes {
		if b := c.shared[h]; b != nil {
			c.retain(b)
		}
	}
	c.evictUntilFree(need)
	c.private += private
	for _, h := range hashes {
		if c.shared[h] == nil {
			c.shared[h] = &sharedBlock{refs: 1}
			c.stored = append(c.stored, h)
		}
	}
	return true
}

// takeChanges returns the hashes stored and evicted since the last call.
func (c *blockCache) takeChanges() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}

func (c *blockCache) free() int {
	return c.total - c.private - len(c.shared)
}

// allocatePrivate allocates one more private block. It returns false if no block is
// free or idle.
func (c *blockCache) allocatePrivate() bool {
	if c.free() == 0 && c.idle.Len() == 0 {
		return false
	}
	c.evictUntilFree(1)
	c.private++
	return true
}

// cachedPrefix returns the length of the cached prefix of a prompt, in blocks.
func (c *blockCache) cachedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.shared[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// evictUntilFree evicts idle blocks, least recently used first, until n blocks are
// free. At least n blocks must be free or idle.
func (c *blockCache) evictUntilFree(n int) {
	for c.free() < n {
		oldest := c.idle.Front()
		hash, _ := c.idle.Remove(oldest).(uint64)
		delete(c.shared, hash)
		c.evicted = append(c.evicted, hash)
	}
}

// retain adds a reference to b.
func (c *blockCache) retain(b *sharedBlock) {
	if b.idleElement != nil {
		c.idle.Remove(b.idleElement)
		b.idleElement = nil
	}
	b.refs++
}

// release frees a request's private blocks and drops its references to the shared
// ones. Those without references become idle. They are queued last block first, so that
// later eviction keeps the leading blocks, without which the rest is no cached prefix.
func (c *blockCache) release(hashes []uint64, private int) {
	c.private -= private
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.shared[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idleElement = c.idle.PushBack(hashes[i])
		}
	}
}

// used returns the number of blocks that can't be evicted.
func (c *blockCache) used() int {
	return c.private + len(c.shared) - c.idle.Len()
}
