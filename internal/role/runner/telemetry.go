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

// reportSweepInterval is how often idle series are removed from the burn report.
const reportSweepInterval = time.Minute

// telemetry holds a process's event records, service-level counts and metrics.
type telemetry struct {
	settings parser.Settings
	keeper   *explainer.Keeper
	reporter *reporter.Reporter
	meter    *meter.Meter
	// log writes to the process's logger and also feeds the records and metrics.
	log *logger.Logger
}

// newTelemetry returns the telemetry of a process that logs to l. The caller must
// close it.
func newTelemetry(now time.Time, s parser.Settings, l *logger.Logger) (*telemetry, error) {
	m, err := meter.New(s.Role, s.Name)
	if err != nil {
		return nil, err
	}
	tel := &telemetry{
		settings: s, meter: m, log: &logger.Logger{},
		keeper: &explainer.Keeper{Process: s.Name, Role: s.Role, Since: now},
	}
	if s.Entry != nil {
		tel.reporter = &reporter.Reporter{
			Process: s.Name, Since: now,
			OnFirstToken: m.FirstToken, OnGap: m.Gap, OnTokens: m.Tokens,
		}
	}
	if l != nil {
		*tel.log = *l
	}
	tel.log.Keep = tel.keeper.Keep
	tel.log.Count = m.Count
	return tel, nil
}

// Close shuts down the metrics.
func (tel *telemetry) Close() error {
	return tel.meter.Close()
}

// registerRPC registers the Insight RPC service, which serves the process's records.
func (tel *telemetry) registerRPC(mux *drpcmux.Mux) error {
	return messenger.DRPCRegisterInsight(mux, &answerer.Answerer{Keeper: tel.keeper, Reporter: tel.reporter, Now: time.Now})
}

// run serves the metrics, if the settings name a listener, and sweeps the burn
// report until ctx ends.
func (tel *telemetry) run(ctx context.Context) error {
	served := make(chan error, 1)
	if tel.settings.MetricsListen == "" {
		served <- nil
	} else {
		l, err := acceptor.Listen(ctx, tel.settings.MetricsListen)
		if err != nil {
			return err
		}
		go func() { served <- tel.meter.Serve(ctx, l) }()
	}
	ticker := time.NewTicker(reportSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			tel.reporter.Sweep(now)
		case <-ctx.Done():
			return <-served
		}
	}
}

// runWithTelemetry runs serve and, until it returns, the telemetry of its process.
func runWithTelemetry(ctx context.Context, s parser.Settings, l *logger.Logger, serve func(context.Context, *telemetry) error) error {
	in, err := newTelemetry(time.Now(), s, l)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 1)
	serving, fail := context.WithCancel(ctx)
	defer fail()
	go func() {
		err := in.run(background)
		if background.Err() == nil {
			// A process that can't serve the metrics its settings ask for must stop.
			fail()
		}
		done <- err
	}()
	err = serve(serving, in)
	stop()
	return errors.Join(err, <-done, in.Close())
}
