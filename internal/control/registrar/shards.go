package registrar

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is into how many parts a view's large maps are cut: a change copies
// one part instead of all contracts.
const shardCount = 64

type (
	// contractShards holds contracts by workspace. A nil one is empty.
	contractShards [shardCount]map[string]*Contract

	// keyShards holds workspaces by key hash. A nil one is empty.
	keyShards [shardCount]map[string]string

	// shardEdit changes shards that views may share: it copies a part before its
	// first change.
	shardEdit struct {
		contracts *contractShards
		keys      *keyShards
		// ownContracts and ownKeys tell which parts are copies already.
		ownContracts, ownKeys [shardCount]bool
	}
)

// newShardEdit begins to change copies of shards that never change themselves.
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

// contractPart returns the part of a workspace, for changing it.
func (e *shardEdit) contractPart(workspace string) map[string]*Contract {
	i := shardOf(workspace)
	if !e.ownContracts[i] {
		e.ownContracts[i] = true
		e.contracts[i] = maps.Clone(e.contracts[i])
		if e.contracts[i] == nil {
			e.contracts[i] = make(map[string]*Contract)
		}
	}
	return e.contracts[i]
}

// forgetKeys drops the keys of a contract that is being replaced, but for those
// that have moved to another workspace.
func (e *shardEdit) forgetKeys(c Contract) {
	for _, k := range c.Keys {
		if workspace, ok := e.keys.get(k.SHA256); ok && workspace == c.Workspace {
			delete(e.keyPart(k.SHA256), k.SHA256)
		}
	}
}

// keyPart returns the part of a key hash, for changing it.
func (e *shardEdit) keyPart(hash string) map[string]string {
	i := shardOf(hash)
	if !e.ownKeys[i] {
		e.ownKeys[i] = true
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
		e.forgetKeys(*old)
	}
	for _, k := range c.Keys {
		e.keyPart(k.SHA256)[k.SHA256] = c.Workspace
	}
	e.contractPart(c.Workspace)[c.Workspace] = c
}
