package runner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/ejector"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/placer"
	"verbenareach/internal/entry/queuer"
	"verbenareach/internal/entry/router"
	entryserver "verbenareach/internal/entry/server"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/length/estimator"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

// acquireFunc adapts a limiter to the entry server's Acquire function.
func acquireFunc(l *limiter.Limiter) func(context.Context, time.Time, registrar.Contract, limiter.Demand) (entryserver.Permit, error) {
	return func(ctx context.Context, now time.Time, contract registrar.Contract, demand limiter.Demand) (entryserver.Permit, error) {
		grant, refused := l.Acquire(ctx, now, contract, demand)
		if refused != nil {
			return entryserver.Permit{}, refused
		}
		return entryserver.Permit{Spend: grant.Spend, Release: grant.Release}, nil
	}
}

// newLimiter returns a limiter that calls other entries through pool.
func newLimiter(s parser.Settings, f *follower.Follower, pool *dialer.Pool) *limiter.Limiter {
	return &limiter.Limiter{
		Name:        s.Name,
		Incarnation: func() uint64 { return f.Member().Incarnation },
		View:        f.View,
		ConfirmedAt: f.ConfirmedAt,
		Lend: func(ctx context.Context, to registrar.Member, req *messenger.LendRequest) (*messenger.LendReply, error) {
			conn := pool.Conn(ctx, to.Address)
			defer func() { _ = conn.Close() }()
			return messenger.NewDRPCLimitsClient(conn).Lend(ctx, req)
		},
		Declare: func(ctx context.Context, to registrar.Member, req *messenger.DeclareRequest) (*messenger.DeclareReply, error) {
			conn := pool.Conn(ctx, to.Address)
			defer func() { _ = conn.Close() }()
			return messenger.NewDRPCLimitsClient(conn).Declare(ctx, req)
		},
	}
}

// newPlacer returns a placer that reads the view and loads from f.
func newPlacer(s parser.Settings, f *follower.Follower, l *logger.Logger) *placer.Placer {
	routing := router.DefaultSettings(s.Region, s.FailureDomain)
	lengths := estimator.NewPredictor()
	key := func(start *messenger.GenerateStart) estimator.Key {
		return estimator.Key{Workspace: start.GetWorkspace(), Kind: start.GetKind()}
	}
	return &placer.Placer{
		View: f.View, Load: f.Load, Log: l, SlowStart: routing.SlowStart,
		Expect: func(start *messenger.GenerateStart) int { return lengths.Expect(key(start), len(start.GetDelivered())) },
		Ended:  func(start *messenger.GenerateStart) { lengths.Ended(key(start), len(start.GetDelivered())) },
		Router: router.New(routing), Queue: &queuer.Queue{}, Ejector: &ejector.Ejector{},
	}
}

// runWithBackground runs serve and, until it returns, the background tasks.
func runWithBackground(ctx context.Context, serve func(ctx context.Context) error, tasks ...func(ctx context.Context) error) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, background := errgroup.WithContext(background)
	for _, task := range tasks {
		g.Go(func() error { return task(background) })
	}
	g.Go(func() error {
		defer stop()
		return serve(ctx)
	})
	return g.Wait()
}
