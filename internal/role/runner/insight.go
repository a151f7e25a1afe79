package runner

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc/drpcmux"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/event/explainer"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/event/meter"
	"verbenareach/internal/insight/answerer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/messenger"
)

// sweepReports is how often idle series of the burn report are looked for.
const sweepReports = time.Minute

// insight is what a process keeps to explain itself: records, service levels and metrics.
type insight struct {
	settings parser.Settings
	keeper   *explainer.Keeper
	reporter *reporter.Reporter
	meter    *meter.Meter
	// log writes what the process's logger does, and feeds the records and metrics.
	log *logger.Logger
}

// newInsight returns the insight of a process that logs to l. Close it after use.
func newInsight(now time.Time, s parser.Settings, l *logger.Logger) (*insight, error) {
	m, err := meter.New(s.Role, s.Name)
	if err != nil {
		return nil, err
	}
	in := &insight{
		settings: s, meter: m, log: &logger.Logger{},
		keeper: &explainer.Keeper{Process: s.Name, Role: s.Role, Since: now},
	}
	if s.Entry != nil {
		in.reporter = &reporter.Reporter{
			Process: s.Name, Since: now,
			OnFirstToken: m.FirstToken, OnGap: m.Gap, OnTokens: m.Tokens,
		}
	}
	if l != nil {
		*in.log = *l
	}
	in.log.Keep = in.keeper.Keep
	in.log.Count = m.Count
	return in, nil
}

// Close stops the metrics.
func (in *insight) Close() error {
	return in.meter.Close()
}

// register adds the service that answers for the process.
func (in *insight) register(mux *drpcmux.Mux) error {
	return messenger.DRPCRegisterInsight(mux, &answerer.Answerer{Keeper: in.keeper, Reporter: in.reporter, Now: time.Now})
}

// run serves the metrics, if settings name a listener, and sweeps until ctx ends.
func (in *insight) run(ctx context.Context) error {
	served := make(chan error, 1)
	if in.settings.MetricsListen == "" {
		served <- nil
	} else {
		l, err := acceptor.Listen(ctx, in.settings.MetricsListen)
		if err != nil {
			return err
		}
		go func() { served <- in.meter.Serve(ctx, l) }()
	}
	ticker := time.NewTicker(sweepReports)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			in.reporter.Sweep(now)
		case <-ctx.Done():
			return <-served
		}
	}
}

// runWith runs serve with the insight of its process beside it.
func runWith(ctx context.Context, s parser.Settings, l *logger.Logger, serve func(context.Context, *insight) error) error {
	in, err := newInsight(time.Now(), s, l)
	if err != nil {
		return err
	}
	beside, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 1)
	serving, fail := context.WithCancel(ctx)
	defer fail()
	go func() {
		err := in.run(beside)
		if beside.Err() == nil {
			// Without its metrics listener the process does not do what its settings say.
			fail()
		}
		done <- err
	}()
	err = serve(serving, in)
	stop()
	return errors.Join(err, <-done, in.Close())
}
