// Package runner assembles each role from its settings and runs it.
package runner

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/controller"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/event/logger"
)

// NewLogger returns a logger that writes events of at least the settings' level to w.
func NewLogger(s parser.Settings, w io.Writer) *logger.Logger {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return &logger.Logger{Out: log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, Prefix: s.Name})}
}

// Run runs the role of the settings until ctx ends and all work in progress is done.
func Run(ctx context.Context, s parser.Settings, l *logger.Logger) error {
	return runWithTelemetry(ctx, s, l, func(ctx context.Context, tel *telemetry) error {
		switch {
		case s.Entry != nil:
			return runEntry(ctx, s, tel)
		case s.Agent != nil:
			return runAgent(ctx, s, tel)
		case s.Control != nil:
			c := &controller.Controller{Name: s.Name, Settings: *s.Control, Log: tel.log, RegisterServices: tel.registerRPC}
			return c.Run(ctx)
		default:
			return eris.New("the settings name no role")
		}
	})
}

// runFollowed runs serve and, until it returns, the follower.
func runFollowed(ctx context.Context, f *follower.Follower, serve func(ctx context.Context) error) error {
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	g, following := errgroup.WithContext(following)
	g.Go(func() error { return f.Run(following) })
	g.Go(func() error {
		defer stopFollowing()
		return serve(ctx)
	})
	return g.Wait()
}

// usable returns a predicate that reports whether the follower's view is fresh
// enough, and its process not superseded, so that new work may be admitted.
func usable(f *follower.Follower) func(now time.Time) bool {
	return func(now time.Time) bool { return f.Fresh(now) && !f.Superseded() }
}
