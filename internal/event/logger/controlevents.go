package logger

import "github.com/charmbracelet/log"

// Events of control hosts.
var (
	ControlStarted = Event{1001, log.InfoLevel, "control host started"}
	ControlStopped = Event{1002, log.InfoLevel, "control host stopped"}

	controlEvents = []Event{ControlStarted, ControlStopped}
)
