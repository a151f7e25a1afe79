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

func runEntry(ctx context.Context, s parser.Settings, tel *telemetry) error {
	l := tel.log
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
		// An entry that has lost control keeps serving from its last view: the agents'
		// gates reject requests that a stale view would let through.
		Ready: func(time.Time) bool { return !f.ConfirmedAt().IsZero() },
		RegisterServices: func(mux *drpcmux.Mux) error {
			server := &limiter.Server{Limiter: limits, Now: time.Now}
			return errors.Join(tel.registerRPC(mux), messenger.DRPCRegisterLimits(mux, server))
		},
		Acquire: acquireFunc(limits), Reporter: tel.reporter,
		MaxBodyBytes: s.Entry.MaxBodyBytes, RequestTimeout: time.Duration(s.Entry.RequestTimeout),
		StopNotice: time.Duration(s.Entry.StopNotice),
		Relayer: &relayer.Relayer{
			Pool: pool, Choose: picker.ChooseEngine, Report: picker.ReportGeneration, Log: l,
			StallTimeout: time.Duration(s.Entry.StallTimeout), ResumeTimeout: time.Duration(s.Entry.ResumeTimeout),
		},
		Booker: &booker.Booker{
			Pool: pool, Choose: picker.ChooseService, Report: picker.ReportCall, Release: picker.ReleaseCall, Log: l,
			Budget: &retrier.Budget{},
			Claim:  f.Claim, RecordOutcome: f.RecordOutcome, RecordRefusal: f.RefuseClaim,
			AddressOf: func(server string) (string, bool) {
				m, ok := f.View().Member(server)
				return m.Address, ok
			},
		},
	}
	return runFollowed(ctx, f, func(ctx context.Context) error {
		return runWithBackground(ctx, e.Run, limits.Run, picker.Run)
	})
}
