package tracker

import "verbenareach/internal/wire/messenger"

// stateOrder orders the states of one process with the same sequence.
var stateOrder = map[messenger.Backend_State]int{
	messenger.Backend_STATE_READY: 0, messenger.Backend_STATE_DRAINING: 1, messenger.Backend_STATE_SILENT: 2,
}

// newer reports whether b replaces a, by this order of what hosts know of a backend server:
//   - A later start of its process comes first.
//   - The end of a process is final. The host that is told of it may hold a lower sequence than
//     the keeper, as reports that change nothing are not passed on.
//   - A higher sequence comes next: a silent process returns with any later report.
//   - With the same sequence, which hosts keep when they mark a backend server as draining or
//     silent, only a state further on in stateOrder replaces another.
func newer(a, b *messenger.Backend) bool {
	if a.Started != b.Started {
		return b.Started > a.Started
	}
	if a.State == messenger.Backend_STATE_GONE || b.State == messenger.Backend_STATE_GONE {
		return a.State != messenger.Backend_STATE_GONE
	}
	if b.Sequence != a.Sequence {
		return b.Sequence > a.Sequence
	}
	return stateOrder[b.State] > stateOrder[a.State]
}

// differs reports whether b differs from a in what other hosts base decisions on.
func differs(a, b *messenger.Backend) bool {
	return a.State != b.State || a.Started != b.Started || a.Address != b.Address || a.Service != b.Service ||
		a.Keeper != b.Keeper || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain
}
