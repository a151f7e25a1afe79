package logger

import "github.com/charmbracelet/log"

// Events of control hosts.
var (
	ControlStarted = Event{1001, log.InfoLevel, "control host started"}
	ControlStopped = Event{1002, log.InfoLevel, "control host stopped"}

	// Events of distribution and membership.
	FollowerConnected    = Event{1101, log.DebugLevel, "follower connected"}
	FollowerDisconnected = Event{1102, log.DebugLevel, "follower's stream ended"}
	MemberExpired        = Event{1103, log.WarnLevel, "member removed after silence timeout"}
	// Events of followers, in entries and agents.
	ControlHostSwitched = Event{1151, log.WarnLevel, "connection to a control host ended, switching to another"}
	MemberSuperseded    = Event{1152, log.ErrorLevel, "superseded by a newer process with the same name"}

	// Events of operators' changes.
	ContractChanged = Event{1201, log.InfoLevel, "contract change decided"}
	MarkChanged     = Event{1202, log.InfoLevel, "leave or return mark decided"}
	MarkConfirmed   = Event{1203, log.InfoLevel, "agent confirmed its mark"}
	MarkUnconfirmed = Event{1204, log.WarnLevel, "agent has not confirmed its mark"}
	OperatorRefused = Event{1205, log.WarnLevel, "operator refused: wrong key"}

	controlEvents = []Event{
		ControlStarted, ControlStopped, FollowerConnected, FollowerDisconnected, MemberExpired, ControlHostSwitched, MemberSuperseded,
		ContractChanged, MarkChanged, MarkConfirmed, MarkUnconfirmed, OperatorRefused,
	}
)
