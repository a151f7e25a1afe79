package commander

import (
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/service/emulator"
	"verbenareach/internal/wire/acceptor"
)

func addStandInService(parent *kingpin.CmdClause, run map[string]func() error, stderr io.Writer) {
	cmd := parent.Command("service", "Run a stand-in service that counts how often each booking ran.")
	listen := cmd.Flag("listen", "IP number and port to listen at.").Default("127.0.0.1:0").String()
	s := &emulator.Service{}
	cmd.Flag("announce", "IP number and port at which the agent listens for announcements.").Required().StringVar(&s.AnnounceTo)
	cmd.Flag("name", "Name of the service, as in contracts.").Default("rota").StringVar(&s.Name)
	cmd.Flag("delay", "Duration of each booking.").Default("0s").DurationVar(&s.Delay)
	run[cmd.FullCommand()] = func() error {
		ctx, stop := untilSignal()
		defer stop()
		listener, err := acceptor.Listen(ctx, *listen)
		if err != nil {
			return err
		}
		s.Listener = listener
		s.Log = &logger.Logger{Out: log.NewWithOptions(stderr, log.Options{ReportTimestamp: true})}
		return s.Run(ctx)
	}
}
