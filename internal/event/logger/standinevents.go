package logger

import "github.com/charmbracelet/log"

// Events of the stand-ins for outside systems.
var (
	StandInStarted        = Event{4001, log.InfoLevel, "stand-in started"}
	StandInStopped        = Event{4002, log.InfoLevel, "stand-in stopped"}
	StandInAnnounceFailed = Event{4003, log.WarnLevel, "stand-in could not announce itself"}

	standInEvents = []Event{StandInStarted, StandInStopped, StandInAnnounceFailed}
)
