package logger

import "github.com/charmbracelet/log"

// Events of the replicated log of the control hosts.
var (
	ControlLeaderElected     = Event{1401, log.InfoLevel, "control host became leader"}
	ControlLeaderLost        = Event{1402, log.WarnLevel, "control host lost leadership: no quorum of voters replies"}
	ControlMembersChanged    = Event{1403, log.InfoLevel, "membership of control hosts changed"}
	ControlNotMember         = Event{1404, log.ErrorLevel, "control host is not a member: its data folder is new"}
	ControlLogOpened         = Event{1405, log.InfoLevel, "replicated log opened"}
	ControlElectionStarted   = Event{1406, log.InfoLevel, "election started"}
	ControlVoteRequested     = Event{1407, log.InfoLevel, "vote requested by another control host"}
	ControlVoteAnswered      = Event{1408, log.InfoLevel, "vote answered by another control host"}
	ControlFollowing         = Event{1409, log.InfoLevel, "control host follows another leader"}
	ControlSnapshotSaved     = Event{1411, log.DebugLevel, "snapshot saved"}
	ControlSnapshotInstalled = Event{1412, log.InfoLevel, "snapshot installed from another control host"}
	ControlSnapshotFailed    = Event{1413, log.ErrorLevel, "snapshot failed"}
	ControlLogDamaged        = Event{1421, log.ErrorLevel, "log is damaged: set aside, to be rebuilt from the other hosts"}
	ControlDiskFull          = Event{1422, log.ErrorLevel, "disk is full, changes are refused"}
	ControlDiskSpaceFreed    = Event{1423, log.InfoLevel, "disk has free space again"}
	ControlDiskFailed        = Event{1424, log.ErrorLevel, "control host stops: its log can't be read or written"}
	ControlDiskSlow          = Event{1425, log.WarnLevel, "write to the disk of the replicated log took long"}
	ControlStreamOpened      = Event{1431, log.InfoLevel, "message stream to another control host opened"}
	ControlStreamClosed      = Event{1432, log.WarnLevel, "message stream to another control host ended"}
	ControlStreamSilent      = Event{1433, log.WarnLevel, "message stream given up: no reply tells that messages are received"}
	ControlRequestSilent     = Event{1434, log.WarnLevel, "connection for requests to another control host was given up as silent"}

	replicationEvents = []Event{
		ControlLeaderElected, ControlLeaderLost, ControlMembersChanged, ControlNotMember, ControlLogOpened, ControlElectionStarted,
		ControlVoteRequested, ControlVoteAnswered, ControlFollowing, ControlSnapshotSaved,
		ControlSnapshotInstalled, ControlSnapshotFailed, ControlLogDamaged, ControlDiskFull, ControlDiskSpaceFreed,
		ControlDiskFailed, ControlDiskSlow, ControlStreamOpened, ControlStreamClosed, ControlStreamSilent,
		ControlRequestSilent,
	}
)
