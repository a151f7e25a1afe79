// Package subscriber decides over which links reports of backend servers are passed on, so that each
// host gets a report from a few hubs and not from all of them. A host that receives a report tells all
// hubs. A hub passes it on to the hosts that subscribe there, and to another hub only if that one is
// not linked to the host that told it. With a new subscription come all reports. The package does no
// I/O.
package subscriber

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

// Subscriber holds the subscriptions of one host. Its exported fields are set before first use; it
// is safe for concurrent use.
type Subscriber struct {
	Self *messenger.FleetHost
	// Regions holds the region of each failure domain; domains that are not named share one.
	Regions map[string]string

	mu sync.Mutex
	// sources holds the hubs from which this host takes reports. A hub takes all of them once; later
	// ones come to it from the hosts that get them.
	sources map[string]bool
	// subscribed holds the hosts that take reports from this hub.
	subscribed map[string]bool
	// told holds the hosts of which other hubs were told that this hub is linked to them.
	told map[string]bool
	// linked holds the hosts to which each other hub is linked, as it tells.
	linked map[string]map[string]bool
}

// maxSources is the number of hubs from which a host takes reports: if one is lost, the other serves
// until its link counts as lost.
const maxSources = 2

// Begin chooses the first hub from which this host takes reports, as soon as one is linked, and returns
// its name; nothing if there is one already. Renew chooses the others once more links had time to come up.
func (s *Subscriber) Begin(linked []*messenger.FleetHost) (added []string) {
	return s.choose(linked, 1)
}

// Renew chooses the hubs from which this host takes reports among those that are linked, and returns
// the names of the new ones. A source stays while it is linked; the second one is in another failure
// domain than the first if there is one. Then the nearest are chosen, and of those by a hash.
func (s *Subscriber) Renew(linked []*messenger.FleetHost) (added []string) {
	return s.choose(linked, maxSources)
}

// choose keeps the sources that are linked, adds new ones up to a number, and returns these.
func (s *Subscriber) choose(linked []*messenger.FleetHost, number int) (added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*messenger.FleetHost
	kept := make(map[string]bool, maxSources)
	domains := make(map[string]bool, maxSources)
	for _, h := range linked {
		switch {
		case !h.Hub:
		case s.sources[h.Name]:
			kept[h.Name], domains[h.FailureDomain] = true, true
		default:
			free = append(free, h)
		}
	}
	for len(kept) < number && len(free) > 0 {
		next := slices.MinFunc(free, func(a, b *messenger.FleetHost) int {
			return cmp.Or(cmpBool(domains[a.FailureDomain], domains[b.FailureDomain]), cmp.Compare(s.distance(a), s.distance(b)),
				cmp.Compare(s.weight(a), s.weight(b)), cmp.Compare(a.Name, b.Name))
		})
		free = slices.DeleteFunc(free, func(h *messenger.FleetHost) bool { return h == next })
		kept[next.Name], domains[next.FailureDomain] = true, true
		added = append(added, next.Name)
	}
	s.sources = kept
	return added
}

// Subscribe records on a hub that a host takes reports from it.
func (s *Subscriber) Subscribe(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscribed == nil {
		s.subscribed = make(map[string]bool)
	}
	s.subscribed[host] = true
}

// Forget drops what is known of a host whose link is lost or new.
func (s *Subscriber) Forget(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sources, host)
	delete(s.subscribed, host)
	delete(s.linked, host)
}

// Announce returns the links of this hub that have come up or gone down since the last call, to be
// told to the other hubs; nil if there are none.
func (s *Subscriber) Announce(linked []*messenger.FleetHost) *messenger.LinkedHosts {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := names(linked)
	m := &messenger.LinkedHosts{Up: missing(now, s.told), Down: missing(s.told, now)}
	s.told = now
	if len(m.Up) == 0 && len(m.Down) == 0 {
		return nil
	}
	return m
}

// Announced returns all links that the other hubs were told of, for a hub that has just been linked.
func (s *Subscriber) Announced() *messenger.LinkedHosts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &messenger.LinkedHosts{All: true, Up: missing(s.told, nil)}
}

// Learn records the links that another hub tells of. It returns the hosts that the hub was linked to
// and is not any more: it may lack their newest reports.
func (s *Subscriber) Learn(hub string, m *messenger.LinkedHosts) (lost []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.linked[hub]
	after := make(map[string]bool, len(before)+len(m.Up))
	if !m.All {
		for name := range before {
			after[name] = true
		}
	}
	for _, name := range m.Up {
		after[name] = true
	}
	for _, name := range m.Down {
		delete(after, name)
	}
	if s.linked == nil {
		s.linked = make(map[string]map[string]bool)
	}
	s.linked[hub] = after
	return missing(before, after)
}

// Sends reports whether this host passes a report on to a linked host. origin is the host that sent
// it over a link, "" if this host has it from elsewhere.
func (s *Subscriber) Sends(origin string, to *messenger.FleetHost) bool {
	if to.Name == origin {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !to.Hub {
		return s.subscribed[to.Name]
	}
	return origin == "" || !s.linked[to.Name][origin]
}

// distance returns how far a hub is.
func (s *Subscriber) distance(hub *messenger.FleetHost) cataloger.Distance {
	return cataloger.DistanceOf(s.Regions, hub.FailureDomain, s.Self.FailureDomain)
}

// weight spreads hosts over hubs at the same distance.
func (s *Subscriber) weight(hub *messenger.FleetHost) uint64 {
	return xxhash.Sum64String(s.Self.Name + "/" + hub.Name)
}

func names(hosts []*messenger.FleetHost) map[string]bool {
	set := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		set[h.Name] = true
	}
	return set
}

// missing returns the members of a set that are not in another one, sorted.
func missing(set, from map[string]bool) (list []string) {
	for name := range set {
		if !from[name] {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// cmpBool orders false before true.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
