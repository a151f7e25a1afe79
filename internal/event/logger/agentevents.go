package logger

import "github.com/charmbracelet/log"

// Events of agents.
var (
	AgentStarted     = Event{3001, log.InfoLevel, "agent started"}
	AgentStopping    = Event{3002, log.InfoLevel, "agent stopping, finishing work in progress"}
	AgentStopped     = Event{3003, log.InfoLevel, "agent stopped"}
	BackendAnnounced = Event{3101, log.InfoLevel, "backend server announced itself"}
	BackendLost      = Event{3102, log.WarnLevel, "backend server stopped announcing itself"}
	EngineHung       = Event{3104, log.ErrorLevel, "engine produces no tokens, its generations resume on other backend servers"}
	MarkApplied      = Event{3103, log.InfoLevel, "leave or return mark applied"}
	WorkAdmitted     = Event{3201, log.DebugLevel, "generation admitted at the backend server"}
	WorkDeclined     = Event{3202, log.DebugLevel, "work declined at the backend server"}
	AttemptEnded     = Event{3203, log.DebugLevel, "attempt ended"}
	AttemptFailed    = Event{3204, log.WarnLevel, "attempt failed"}
	AttemptAbandoned = Event{3205, log.InfoLevel, "attempt abandoned"}
	WorkPreempted    = Event{3206, log.WarnLevel, "generation preempted: engine memory is short"}
	ClaimDispatched  = Event{3301, log.InfoLevel, "claimed call dispatched"}
	ClaimRefused     = Event{3302, log.WarnLevel, "claimed call refused"}
	OrderForwarded   = Event{3401, log.InfoLevel, "order forwarded to the engine"}
	OrderRefused     = Event{3402, log.WarnLevel, "order with an old fencing number refused"}
	ClaimOutcome     = Event{3303, log.InfoLevel, "claimed call answered"}

	agentEvents = []Event{
		AgentStarted, AgentStopping, AgentStopped, BackendAnnounced, BackendLost, EngineHung, MarkApplied, WorkAdmitted,
		WorkDeclined, AttemptEnded, AttemptFailed, AttemptAbandoned, WorkPreempted, ClaimDispatched, ClaimRefused, ClaimOutcome,
		OrderForwarded, OrderRefused,
	}
)
