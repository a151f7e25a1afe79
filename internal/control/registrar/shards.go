package registrar

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a view's large maps: a change copies one
// shard instead of all contracts.
const shardCount = 64

type (
	// contractShards holds contracts by workspace. A nil pointer is empty.
	contractShards [shardCount]map[string]*Contract

	// keyShards holds workspaces by key hash. A nil pointer is empty.
	keyShards [shardCount]map[string]string

	// shardEdit changes shards that views may share: it copies a shard before its
	// first change (copy-on-write).
	shardEdit struct {
		contracts *contractShards
		keys      *keyShards
		// copiedContracts and copiedKeys mark the shards that are copied already.
		copiedContracts, copiedKeys [shardCount]bool
	}
)

// newShardEdit returns an edit that starts from the given shards, which it leaves
// unchanged.
func newShardEdit(contracts *contractShards, keys *keyShards) *shardEdit {
	e := &shardEdit{contracts: &contractShards{}, keys: &keyShards{}}
	if contracts != nil {
		*e.contracts = *contracts
		*e.keys = *keys
	}
	return e
}

func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % shardCount
}

func (s *contractShards) get(workspace string) (*Contract, bool) {
	if s == nil {
		return nil, false
	}
	c, ok := s[shardOf(workspace)][workspace]
	return c, ok
}

func (s *keyShards) get(hash string) (string, bool) {
	if s == nil {
		return "", false
	}
	workspace, ok := s[shardOf(hash)][hash]
	return workspace, ok
}

// contractShard returns the shard of a workspace, copied for changes.
func (e *shardEdit) contractShard(workspace string) map[string]*Contract {
	i := shardOf(workspace)
	if !e.copiedContracts[i] {
		e.copiedContracts[i] = true
		e.contracts[i] = maps.Clone(e.contracts[i])
		if e.contracts[i] == nil {
			e.contracts[i] = make(map[string]*Contract)
		}
	}
	return e.contracts[i]
}

// removeKeys removes the keys of a contract that is being replaced, except those
// that have moved to another workspace.
func (e *shardEdit) removeKeys(c Contract) {
	for _, k := range c.Keys {
		if workspace, ok := e.keys.get(k.SHA256); ok && workspace == c.Workspace {
			delete(e.keyShard(k.SHA256), k.SHA256)
		}
	}
}

// keyShard returns the shard of a key hash, copied for changes.
func (e *shardEdit) keyShard(hash string) map[string]string {
	i := shardOf(hash)
	if !e.copiedKeys[i] {
		e.copiedKeys[i] = true
		e.keys[i] = maps.Clone(e.keys[i])
		if e.keys[i] == nil {
			e.keys[i] = make(map[string]string)
		}
	}
	return e.keys[i]
}

// put replaces a workspace's contract.
func (e *shardEdit) put(c *Contract) {
	if old, ok := e.contracts.get(c.Workspace); ok {
		e.removeKeys(*old)
	}
	for _, k := range c.Keys {
		e.keyShard(k.SHA256)[k.SHA256] = c.Workspace
	}
	e.contractShard(c.Workspace)[c.Workspace] = c
}
