package limiter

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenareach/internal/control/registrar"
)

type (
	// membership is the list of live entries in one view. It is immutable.
	membership struct {
		// entries are sorted by name.
		entries []entry
		// hash covers the names and incarnations of all entries.
		hash uint64
	}

	entry struct {
		registrar.Member
		nameHash uint64
	}
)

// newMembership returns the live entries of a view.
func newMembership(view registrar.View) *membership {
	m := &membership{}
	view.EachMember(func(member registrar.Member) {
		if member.Role == registrar.RoleEntry {
			m.entries = append(m.entries, entry{Member: member, nameHash: xxhash.Sum64String(member.Name)})
		}
	})
	slices.SortFunc(m.entries, func(a, b entry) int { return strings.Compare(a.Name, b.Name) })
	var buf []byte
	for _, e := range m.entries {
		buf = binary.LittleEndian.AppendUint64(buf, e.nameHash)
		buf = binary.LittleEndian.AppendUint64(buf, e.Incarnation)
	}
	m.hash = xxhash.Sum64(buf)
	return m
}

// home returns the home of a workspace by rendezvous hashing: the entry with the
// highest hash of its name and the workspace's, so that a change of one entry moves
// only the workspaces of that entry. It returns false if there is no entry.
func (m *membership) home(workspace string) (registrar.Member, bool) {
	if len(m.entries) == 0 {
		return registrar.Member{}, false
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(workspace))
	best, bestScore := 0, uint64(0)
	for i := range m.entries {
		binary.LittleEndian.PutUint64(buf[:8], m.entries[i].nameHash)
		if score := xxhash.Sum64(buf[:]); i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return m.entries[best].Member, true
}

// incarnation returns the incarnation of a live entry.
func (m *membership) incarnation(name string) (uint64, bool) {
	i, ok := slices.BinarySearchFunc(m.entries, name, func(e entry, name string) int { return strings.Compare(e.Name, name) })
	if !ok {
		return 0, false
	}
	return m.entries[i].Incarnation, true
}
