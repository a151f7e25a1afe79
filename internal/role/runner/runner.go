// Package runner puts each role together from its settings and runs it.
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

// NewLogger returns a logger that writes to w from the settings' level on.
func NewLogger(s parser.Settings, w io.Writer) *logger.Logger {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return &logger.Logger{Out: log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, Prefix: s.Name})}
}

// Run runs the role of the settings until ctx ends and all work in progress is done.
func Run(ctx context.Context, s parser.Settings, l *logger.Logger) error {
	return runWith(ctx, s, l, func(ctx context.Context, in *insight) error {
		switch {
		case s.Entry != nil:
			return runEntry(ctx, s, in)
		case s.Agent != nil:
			return runAgent(ctx, s, in)
		case s.Control != nil:
			c := &controller.Controller{Name: s.Name, Settings: *s.Control, Log: in.log, RegisterPeer: in.register}
			return c.Run(ctx)
		default:
			return eris.New("the settings name no role")
		}
	})
}

// runFollowed runs serve beside a follower, which goes on until serve is done.
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

// usable tells whether what a follower knows may be relied on for new work.
func usable(f *follower.Follower) func(now time.Time) bool {
	return func(now time.Time) bool { return f.Fresh(now) && !f.Superseded() }
}
