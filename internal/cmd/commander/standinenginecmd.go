package commander

import (
	"errors"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
)

func addStandInEngine(parent *kingpin.CmdClause, run map[string]func() error, stderr io.Writer) {
	cmd := parent.Command("engine", "Run a stand-in model engine that announces itself to an agent.")
	p := emulator.DefaultParameters()
	s := &emulator.Server{}
	var models []string
	cmd.Flag("listen", "IP number and port to listen at.").Default("127.0.0.1:0").StringVar(&s.Listen)
	cmd.Flag("announce", "IP number and port at which the agent listens for announcements.").StringVar(&s.Announce)
	cmd.Flag("model", "Loaded model, as MODEL[/ADAPTER][@VERSION]; repeatable.").Default("rota-large").StringsVar(&models)
	cmd.Flag("checks-fences", "Refuse orders with an old fencing number.").Default("true").BoolVar(&s.ChecksFences)
	cmd.Flag("load-time", "Time to load a model.").Default("2s").DurationVar(&s.LoadTime)
	cmd.Flag("memory", "Memory for prompts and outputs, in tokens.").Default("60000").IntVar(&p.MemoryTokens)
	cmd.Flag("batch", "Largest number of requests in a batch.").Default("128").IntVar(&p.MaxBatch)
	cmd.Flag("step", "Time of one step without any request.").Default(p.StepBase.String()).DurationVar(&p.StepBase)
	cmd.Flag("step-sequence", "Time added for each request in a step.").Default(p.StepPerSequence.String()).DurationVar(&p.StepPerSequence)
	cmd.Flag("prefill", "Time to compute one prompt token.").Default(p.PrefillPerToken.String()).DurationVar(&p.PrefillPerToken)
	cmd.Flag("load-lag", "Delay of load reports.").Default(p.LoadLag.String()).DurationVar(&p.LoadLag)
	cmd.Flag("cache-event-lag", "Delay of cache events.").Default(p.CacheEventLag.String()).DurationVar(&p.CacheEventLag)
	cmd.Flag("cache-event-loss", "Share of cache events that get lost.").Default("0.05").Float64Var(&p.CacheEventLoss)
	run[cmd.FullCommand()] = func() error {
		s.Parameters = p
		for _, m := range models {
			s.Models = append(s.Models, parseModel(m))
		}
		s.Logger = &logger.Logger{Out: log.NewWithOptions(stderr, log.Options{ReportTimestamp: true})}
		ctx, stop := untilSignal()
		defer stop()
		err := s.Run(ctx)
		if errors.Is(err, emulator.ErrKilled) {
			return nil
		}
		return err
	}
}

// parseModel parses MODEL[/ADAPTER][@VERSION].
func parseModel(text string) emulator.Model {
	var m emulator.Model
	text, m.Version, _ = strings.Cut(text, "@")
	m.Model, m.Adapter, _ = strings.Cut(text, "/")
	return m
}
