package logger

import "github.com/charmbracelet/log"

// Events of the hosts of a fleet.
var (
	FleetStarted   = Event{6001, log.InfoLevel, "fleet host started"}
	FleetStopping  = Event{6002, log.InfoLevel, "fleet host stopping"}
	FleetStopped   = Event{6003, log.InfoLevel, "fleet host stopped"}
	FleetReloaded  = Event{6004, log.InfoLevel, "settings reload finished"}
	FleetReadiness = Event{6005, log.InfoLevel, "readiness changed"}
	FleetPaused    = Event{6006, log.WarnLevel, "host paused or its clock jumped"}
	TaskPanicked   = Event{6007, log.ErrorLevel, "handling of a request or message panicked"}

	// Events of a host's view of the other hosts.
	FleetLinked         = Event{6101, log.InfoLevel, "link to a host is up"}
	FleetUnlinked       = Event{6102, log.WarnLevel, "link to a host is lost"}
	FleetMemberChanged  = Event{6103, log.InfoLevel, "membership change of the replicated log finished"}
	FleetLogFailed      = Event{6104, log.ErrorLevel, "replicated log failed"}
	FleetBackendChanged = Event{6105, log.InfoLevel, "backend server changed"}
	FleetDeciderChanged = Event{6106, log.InfoLevel, "generation scheduling moved to another host"}
	FleetInformFailed   = Event{6107, log.WarnLevel, "report of a backend server could not be passed on by call"}
	FleetUnknownGone    = Event{6108, log.WarnLevel, "departure of a backend server that is unknown here"}
	FleetEngineProbed   = Event{6109, log.InfoLevel, "engine whose keeper is lost was asked for its state"}
	FleetMemberChanging = Event{6110, log.InfoLevel, "membership change of the replicated log started"}
	FleetHubLearned     = Event{6111, log.InfoLevel, "hub learned"}
	FleetDialFailed     = Event{6112, log.WarnLevel, "hub could not be dialed"}
	FleetIdentifyFailed = Event{6113, log.WarnLevel, "linked hub did not tell its identity"}
	FleetBackendLeaving = Event{6114, log.InfoLevel, "backend server said in an answer that it leaves"}
	FleetReportOutdated = Event{6115, log.WarnLevel, "another host's report of a backend server is outdated"}
	FleetCallSilent     = Event{6116, log.WarnLevel, "call to another host got no answer in its time, its connection was given up"}
	FleetTraffic        = Event{6117, log.InfoLevel, "bytes sent over the links to other hosts"}
	FleetSubscribed     = Event{6118, log.InfoLevel, "reports of backend servers are taken from another hub"}
	FleetDeparture      = Event{6119, log.InfoLevel, "departure of a backend server passed on by call"}
	FleetLeftOut        = Event{6120, log.ErrorLevel, "entries were left out of a message between hosts"}

	// FleetDeparturePlanned is logged by the host that decides.
	FleetDeparturePlanned = Event{6121, log.InfoLevel, "departure of engines planned"}

	// Events of the configuration.
	FleetConfigAdopted   = Event{6201, log.InfoLevel, "configuration applied"}
	FleetConfigSubmitted = Event{6202, log.InfoLevel, "configuration change submitted"}
	FleetConfigRefused   = Event{6203, log.WarnLevel, "configuration refused as invalid"}
	FleetConfigRead      = Event{6204, log.InfoLevel, "configuration read"}
	FleetConfigRejected  = Event{6205, log.ErrorLevel, "stored configuration can't be used"}
	FleetReportRefused   = Event{6206, log.WarnLevel, "backend server's report refused"}

	// Events of requests.
	ForwardMalformed     = Event{6301, log.WarnLevel, "request refused as malformed"}
	ForwardRefused       = Event{6302, log.WarnLevel, "request refused"}
	ForwardFailed        = Event{6303, log.WarnLevel, "request failed"}
	ForwardAttemptFailed = Event{6304, log.InfoLevel, "attempt on a backend server failed"}
	ForwardServed        = Event{6305, log.InfoLevel, "request served"}
	ForwardDisconnected  = Event{6306, log.InfoLevel, "client disconnected"}
	ForwardLost          = Event{6307, log.WarnLevel, "backend server lost a call"}

	// Events of generations.
	RunPlaced     = Event{6401, log.InfoLevel, "generation placed"}
	RunMoving     = Event{6402, log.InfoLevel, "move of a generation started"}
	RunMoved      = Event{6403, log.InfoLevel, "generation moved"}
	RunMoveFailed = Event{6404, log.WarnLevel, "generation could not be moved"}
	RunAborted    = Event{6405, log.WarnLevel, "generation aborted"}
	// RunCopyReleased reports that the memory copied for a failed move was released.
	RunCopyReleased = Event{6406, log.InfoLevel, "copy of a generation released"}
	RunLost         = Event{6407, log.WarnLevel, "backend server lost a generation"}
	// RunStopOrdered reports that an engine is about to be told to stop a generation, so that its memory
	// can follow; RunStopAnswered what came of that.
	RunStopOrdered  = Event{6409, log.InfoLevel, "engine is told to stop a generation that moves"}
	RunStopAnswered = Event{6410, log.InfoLevel, "order to stop a generation ended"}
	// RunStreamEnded reports an engine's response that ended after the engine may have been told to stop.
	RunStreamEnded = Event{6411, log.InfoLevel, "engine ended its response after it may have been told to stop the generation"}
	// RunNotSaved is logged by the host that decides.
	RunNotSaved = Event{6408, log.WarnLevel, "generation was lost with its engine, which had announced its end"}
	// RunResumed reports a generation that an engine continues which reads its prompt again.
	RunResumed         = Event{6421, log.InfoLevel, "generation resumed at another engine"}
	RunNotResumed      = Event{6422, log.WarnLevel, "generation could not be resumed"}
	RunResumedByClient = Event{6423, log.InfoLevel, "client resumes a generation"}
	// RunRepeated reports a generation of which the client has nothing yet.
	RunRepeated = Event{6424, log.InfoLevel, "generation placed again before its first event"}

	// Events of the parts of requests that crash backend servers.
	PartQuarantined = Event{6501, log.ErrorLevel, "part of requests is quarantined as backend servers end with it"}
	PartReleased    = Event{6502, log.InfoLevel, "part of requests is no longer quarantined"}
	PartProbed      = Event{6503, log.WarnLevel, "request probes a part whose quarantine is over"}
	PartsNotStored  = Event{6504, log.ErrorLevel, "what is known of parts that crash backend servers could not be stored or read"}

	// Events of the limits that backend servers set.
	BackendLimited = Event{6601, log.InfoLevel, "backend server changed the limit on its requests"}
	// BackendPaused concerns the host that logs it alone.
	BackendPaused = Event{6602, log.InfoLevel, "backend server asked this host for a pause"}
	BackendCold   = Event{6603, log.InfoLevel, "backend server is cold and takes few requests"}
	BackendWarm   = Event{6604, log.InfoLevel, "backend server is warm"}

	// Events of evacuated failure domains.
	EvacuationOrdered      = Event{6701, log.InfoLevel, "evacuation of a failure domain, or its end, ordered"}
	EvacuationCommitted    = Event{6702, log.InfoLevel, "change of the evacuations submitted to the replicated log"}
	EvacuationAdopted      = Event{6703, log.InfoLevel, "failure domain is evacuated: its backend servers get no new work"}
	EvacuationEnded        = Event{6704, log.InfoLevel, "failure domain is no longer evacuated"}
	EvacuationAcknowledged = Event{6705, log.InfoLevel, "linked hosts act on a change of the evacuations, or the wait for them ended"}
	EvacuationRefused      = Event{6706, log.WarnLevel, "evacuation of a failure domain, or its end, refused"}
	EvacuationProgress     = Event{6707, log.InfoLevel, "generations on engines of an evacuated failure domain"}

	// Events of the pace of engines.
	EngineUneven = Event{6801, log.WarnLevel, "engine is slower or less steady than others of its service"}
	EngineEven   = Event{6802, log.InfoLevel, "engine is no longer slower or less steady than others of its service"}

	fleetEvents = []Event{
		FleetStarted, FleetStopping, FleetStopped, FleetReloaded, FleetReadiness, FleetPaused, TaskPanicked, FleetLinked, FleetUnlinked,
		FleetMemberChanged, FleetLogFailed, FleetBackendChanged, FleetDeciderChanged, FleetInformFailed,
		FleetUnknownGone, FleetEngineProbed, FleetMemberChanging, FleetHubLearned, FleetDialFailed, FleetIdentifyFailed, FleetBackendLeaving, FleetReportOutdated, FleetCallSilent, FleetDeparture, FleetLeftOut,
		FleetTraffic, FleetSubscribed, FleetDeparturePlanned, FleetConfigAdopted,
		FleetConfigSubmitted, FleetConfigRefused, FleetConfigRead, FleetConfigRejected, FleetReportRefused,
		ForwardMalformed, ForwardRefused, ForwardFailed, ForwardAttemptFailed, ForwardServed, ForwardDisconnected, ForwardLost,
		RunPlaced, RunMoving, RunMoved, RunMoveFailed, RunAborted, RunCopyReleased, RunLost, RunStopOrdered, RunStopAnswered, RunStreamEnded, RunNotSaved, RunResumed, RunNotResumed, RunResumedByClient, RunRepeated,
		PartQuarantined, PartReleased, PartProbed, PartsNotStored,
		BackendLimited, BackendPaused, BackendCold, BackendWarm,
		EvacuationOrdered, EvacuationCommitted, EvacuationAdopted, EvacuationEnded, EvacuationAcknowledged, EvacuationRefused,
		EvacuationProgress, EngineUneven, EngineEven,
	}
)
