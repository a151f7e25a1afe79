package logger

import "github.com/charmbracelet/log"

// Events of entries.
var (
	EntryStarted        = Event{2001, log.InfoLevel, "entry started"}
	EntryStopping       = Event{2002, log.InfoLevel, "entry stopping, finishing work in progress"}
	EntryStopped        = Event{2003, log.InfoLevel, "entry stopped"}
	RequestRefused      = Event{2101, log.InfoLevel, "request refused before it ran"}
	GenerationRouted    = Event{2201, log.DebugLevel, "generation sent to a backend server"}
	GenerationDeclined  = Event{2202, log.InfoLevel, "backend server declined a generation"}
	GenerationStarted   = Event{2203, log.InfoLevel, "generation admitted"}
	GenerationEnded     = Event{2204, log.InfoLevel, "generation delivered completely"}
	GenerationResumed   = Event{2205, log.WarnLevel, "generation resumed under a new epoch"}
	GenerationLost      = Event{2206, log.ErrorLevel, "generation left incomplete"}
	GenerationCancelled = Event{2207, log.InfoLevel, "caller cancelled or disconnected"}
	TokenDropped        = Event{2208, log.WarnLevel, "token of an old epoch or a wrong index dropped"}
	GenerationAttached  = Event{2209, log.InfoLevel, "caller resumed a generation"}
	CallSent            = Event{2301, log.DebugLevel, "call sent to a backend server"}
	CallAnswered        = Event{2302, log.InfoLevel, "call answered"}
	CallRetried         = Event{2303, log.WarnLevel, "repeatable call retried"}
	CallUnknown         = Event{2304, log.ErrorLevel, "outcome of a non-repeatable call unknown"}
	CallNotRun          = Event{2305, log.WarnLevel, "call proven not to have run"}
	ClaimGranted        = Event{2306, log.InfoLevel, "claim of a non-repeatable call committed"}
	ClaimReplayed       = Event{2307, log.InfoLevel, "recorded outcome returned again"}
	ClaimConflict       = Event{2308, log.WarnLevel, "idempotency key used with another request"}
	BackendEjected      = Event{2401, log.WarnLevel, "failing or slow backend server ejected"}

	entryEvents = []Event{
		EntryStarted, EntryStopping, EntryStopped, RequestRefused, GenerationRouted, GenerationDeclined,
		GenerationStarted, GenerationEnded, GenerationResumed, GenerationLost, GenerationCancelled, TokenDropped,
		GenerationAttached, CallSent, CallAnswered, CallRetried, CallUnknown, CallNotRun, ClaimGranted,
		ClaimReplayed, ClaimConflict, BackendEjected,
	}
)
