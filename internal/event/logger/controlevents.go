package logger

import "github.com/charmbracelet/log"

// Events of control hosts.
var (
	ControlStarted = Event{1001, log.InfoLevel, "control host started"}
	ControlStopped = Event{1002, log.InfoLevel, "control host stopped"}

	// Events of distribution and membership.
	FollowerConnected = Event{1101, log.DebugLevel, "follower connected"}
	FollowerGone      = Event{1102, log.DebugLevel, "follower's stream ended"}
	MemberExpired     = Event{1103, log.WarnLevel, "member removed after it fell silent"}
	// Events of followers, in entries and agents.
	ControlLeft      = Event{1151, log.WarnLevel, "control host left for another"}
	MemberSuperseded = Event{1152, log.ErrorLevel, "another process has taken this one's name"}

	// Events of the agreement between control hosts.
	ControlLeaderElected     = Event{1401, log.InfoLevel, "this control host leads"}
	ControlLeaderLost        = Event{1402, log.WarnLevel, "control host stops leading, a quorum does not answer"}
	ControlMembersChanged    = Event{1403, log.InfoLevel, "membership of control hosts changed"}
	ControlNotMember         = Event{1404, log.ErrorLevel, "control host is no member, its data folder is new"}
	ControlSnapshotSaved     = Event{1411, log.DebugLevel, "snapshot saved"}
	ControlSnapshotInstalled = Event{1412, log.InfoLevel, "snapshot installed from another control host"}
	ControlSnapshotFailed    = Event{1413, log.ErrorLevel, "snapshot failed"}
	ControlLogDamaged        = Event{1421, log.ErrorLevel, "log is damaged, set aside to be rebuilt from the others"}
	ControlDiskFull          = Event{1422, log.ErrorLevel, "disk is full, changes are refused"}
	ControlDiskRoom          = Event{1423, log.InfoLevel, "disk has room again"}
	ControlDiskFailed        = Event{1424, log.ErrorLevel, "control host stops, its log can't be written or read"}

	controlEvents = []Event{
		ControlLeaderElected, ControlLeaderLost, ControlMembersChanged, ControlNotMember, ControlSnapshotSaved,
		ControlSnapshotInstalled, ControlSnapshotFailed, ControlLogDamaged, ControlDiskFull, ControlDiskRoom,
		ControlDiskFailed,
		ControlStarted, ControlStopped, FollowerConnected, FollowerGone, MemberExpired, ControlLeft, MemberSuperseded,
	}
)
