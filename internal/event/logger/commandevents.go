package logger

import "github.com/charmbracelet/log"

// Events of commands.
var (
	CommandFailed = Event{5001, log.ErrorLevel, "command failed"}

	commandEvents = []Event{CommandFailed}
)
