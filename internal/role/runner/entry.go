package runner

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc/drpcmux"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/entry/retrier"
	entryserver "verbenareach/internal/entry/server"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

func runEntry(ctx context.Context, s parser.Settings, in *insight) error {
	l := in.log
	listener, err := acceptor.Listen(ctx, s.Entry.Listen)
	if err != nil {
		return err
	}
	peerListener, err := acceptor.Listen(ctx, s.Entry.PeerListen)
	if err != nil {
		return err
	}
	f := &follower.Follower{
		Addresses: s.Entry.Control, Log: l,
		Self: registrar.Member{
			Name: s.Name, Role: registrar.RoleEntry, Address: s.Entry.PeerListen,
			FailureDomain: s.FailureDomain, Region: s.Region, Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	pool := dialer.New()
	defer func() { _ = pool.Close() }()
	picker := newPlacer(s, f, l)
	limits := newLimiter(s, f, pool)
	e := &entryserver.Entry{
		Name: s.Name, Listener: listener, PeerListener: peerListener, View: f.View, Log: l,
		// An entry that control can't reach goes on with what it knows: the agents'
		// gates keep it from doing harm.
		Ready: func(time.Time) bool { return !f.FreshAt().IsZero() },
		RegisterPeer: func(mux *drpcmux.Mux) error {
			server := &limiter.Server{Limiter: limits, Now: time.Now}
			return errors.Join(in.register(mux), messenger.DRPCRegisterLimits(mux, server))
		},
		Acquire: acquirer(limits), Reporter: in.reporter,
		MaxBodyBytes: s.Entry.MaxBodyBytes, RequestTimeout: time.Duration(s.Entry.RequestTimeout),
		Relayer: &relayer.Relayer{Pool: pool, Choose: picker.ChooseEngine, Report: picker.ReportGeneration, Log: l},
		Booker: &booker.Booker{
			Pool: pool, Choose: picker.ChooseService, Report: picker.ReportCall, Log: l,
			Budget: &retrier.Budget{},
			Claim:  f.Claim, RecordOutcome: f.RecordOutcome, RecordRefusal: f.RefuseClaim,
			AddressOf: func(server string) (string, bool) {
				m, ok := f.View().Member(server)
				return m.Address, ok
			},
		},
	}
	return runFollowed(ctx, f, func(ctx context.Context) error {
		return runBeside(ctx, e.Run, limits.Run, picker.Run)
	})
}
