package evacuator

import (
	"context"
	"sync"
)

// Acks holds the revision on which each linked host acts. It is safe for concurrent use; its zero
// value is ready for use.
type Acks struct {
	mu sync.Mutex
	// revisions holds the revisions by host.
	revisions map[string]uint64
	// changed is closed and dropped with the next change; nil while nobody waits.
	changed chan struct{}
}

// Await waits until each of the linked hosts acts on a revision or a higher one, or until ctx ends. It
// returns the hosts that don't yet. linked returns the hosts that are linked now.
func (a *Acks) Await(ctx context.Context, revision uint64, linked func() []string) (missing []string) {
	for {
		missing, changed := a.missing(revision, linked())
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return missing
		}
	}
}

// Forget drops a host that is no longer linked.
func (a *Acks) Forget(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.revisions, host)
	a.signal()
}

// Record records the revision on which a linked host acts.
func (a *Acks) Record(host string, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.revisions[host]; ok && known == revision {
		return
	}
	if a.revisions == nil {
		a.revisions = make(map[string]uint64)
	}
	a.revisions[host] = revision
	a.signal()
}

// missing returns the hosts that don't act on a revision, and a channel that is closed with the next
// change.
func (a *Acks) missing(revision uint64, hosts []string) (missing []string, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, host := range hosts {
		if a.revisions[host] < revision {
			missing = append(missing, host)
		}
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return missing, a.changed
}

// signal wakes those that wait. The lock is held.
func (a *Acks) signal() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
