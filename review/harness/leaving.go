package main

import (
	"sync"
	"time"
)

// drainBound is how long after the acknowledgement of its leaving a backend server may still get requests,
// lingering is how long a backend server goes on to serve after its leaving was acknowledged.
const drainBound, lingering = 2 * time.Second, 8 * time.Second

// playLeaving has an engine leave that holds backups of runs of other engines. While it still serves, one of
// these ends without notice.
func playLeaving(f *fleet, trouble bool) (bool, error) {
	engines, err := startGenerations(f)
	if err != nil {
		return false, err
	}
	c := newClient()
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { generation(c, f, f.hosts[i%len(f.hosts)], draftTokens) })
	}
	time.Sleep(2 * time.Second)
	holder, crashing := holderOfBackup(engines)
	if !trouble {
		wg.Wait()
		return false, nil
	}
	at, by, err := holder.backend.drain(nil)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(at.Add(drainBound + time.Second)))
	crashing.backend.crash()
	time.Sleep(time.Until(at.Add(lingering)))
	late := 0
	holder.mu.Lock()
	for _, r := range holder.runs {
		if after := r.reached.Sub(at); after > drainBound {
			f.record.note("%s reached %s %v after %s acknowledged that it leaves", r.request, holder.id, after.Round(time.Millisecond), by)
			late++
		}
	}
	holder.mu.Unlock()
	wg.Wait()
	return late > 0, nil
}

// holderOfBackup returns an engine and another one, most of whose runs have their backup at the first.
func holderOfBackup(engines []*engine) (holder, from *engine) {
	most := 0
	for _, e := range engines {
		for _, other := range engines {
			n := 0
			other.mu.Lock()
			for _, r := range other.runs {
				if r.ended.IsZero() && r.backup == e.backend.address {
					n++
				}
			}
			other.mu.Unlock()
			if n > most && other != e {
				holder, from, most = e, other, n
			}
		}
	}
	if holder == nil {
		return engines[0], engines[1]
	}
	return holder, from
}
