package logger

import "github.com/charmbracelet/log"

// Events of the stand-ins for outside systems.
var (
	StandInStarted = Event{4001, log.InfoLevel, "stand-in started"}
	StandInStopped = Event{4002, log.InfoLevel, "stand-in stopped"}

	standInEvents = []Event{StandInStarted, StandInStopped}
)
