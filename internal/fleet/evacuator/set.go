// Package evacuator holds which failure domains are evacuated: their backend servers get no new
// work. It also tells which hosts act on a revision of that. It knows no network.
package evacuator

import (
	"maps"
	"slices"
	"time"

	"verbenareach/internal/wire/messenger"
)

// Set is one revision of the evacuated failure domains. It is immutable; a nil Set is empty, at
// revision 0.
type Set struct {
	// revision increases with each change of the domains; 0 if there was none yet.
	revision uint64
	// ordered holds the time of day at which each evacuation was ordered, by failure domain.
	ordered map[string]time.Time
}

// Decode returns the set that a message holds.
func Decode(m *messenger.Evacuations) *Set {
	s := &Set{revision: m.GetRevision(), ordered: make(map[string]time.Time)}
	for _, e := range m.GetEvacuations() {
		s.ordered[e.FailureDomain] = time.UnixMilli(e.OrderedMs)
	}
	return s
}

// Apply returns the set after a request, which is s itself if the request changes nothing.
func (s *Set) Apply(req *messenger.EvacuateRequest) *Set {
	if req.End {
		return s.Without(req.FailureDomain)
	}
	return s.With(req.FailureDomain, time.UnixMilli(req.OrderedMs))
}

// Contains reports whether a failure domain is evacuated.
func (s *Set) Contains(domain string) bool {
	if s == nil {
		return false
	}
	_, ok := s.ordered[domain]
	return ok
}

// Domains returns the evacuated failure domains, sorted.
func (s *Set) Domains() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.ordered))
}

// Message returns the set as a message; nil if there was no change yet. Equal sets have equal messages.
func (s *Set) Message() *messenger.Evacuations {
	if s.Revision() == 0 {
		return nil
	}
	m := &messenger.Evacuations{Revision: s.Revision()}
	for _, domain := range s.Domains() {
		m.Evacuations = append(m.Evacuations, &messenger.Evacuation{
			FailureDomain: domain, OrderedMs: s.ordered[domain].UnixMilli(),
		})
	}
	return m
}

// OrderedAt returns the time of day at which the evacuation of a failure domain was ordered; the zero
// time if it is not evacuated.
func (s *Set) OrderedAt(domain string) time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.ordered[domain]
}

// Revision returns the revision of the set.
func (s *Set) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// With returns the next revision, in which a failure domain is evacuated; s itself if it already is.
func (s *Set) With(domain string, at time.Time) *Set {
	if s.Contains(domain) {
		return s
	}
	next := s.next()
	next.ordered[domain] = at
	return next
}

// Without returns the next revision, in which a failure domain is not evacuated; s itself if it is
// not evacuated now.
func (s *Set) Without(domain string) *Set {
	if !s.Contains(domain) {
		return s
	}
	next := s.next()
	delete(next.ordered, domain)
	return next
}

// next returns a copy with the next revision.
func (s *Set) next() *Set {
	next := &Set{revision: s.Revision() + 1, ordered: make(map[string]time.Time)}
	if s != nil {
		maps.Copy(next.ordered, s.ordered)
	}
	return next
}
