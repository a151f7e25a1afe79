package logger

import "github.com/charmbracelet/log"

// Events of the agreement between control hosts and of their logs.
var (
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

	agreementEvents = []Event{
		ControlLeaderElected, ControlLeaderLost, ControlMembersChanged, ControlNotMember, ControlSnapshotSaved,
		ControlSnapshotInstalled, ControlSnapshotFailed, ControlLogDamaged, ControlDiskFull, ControlDiskRoom,
		ControlDiskFailed,
	}
)
