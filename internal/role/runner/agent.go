package runner

import (
	"context"
	"errors"
	"time"

	agentserver "verbenareach/internal/agent/server"
	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/messenger"
)

// incarnationTimeout is how long a starting agent waits for control to confirm its
// incarnation number.
const incarnationTimeout = 2 * time.Second

func runAgent(ctx context.Context, s parser.Settings, tel *telemetry) error {
	l := tel.log
	listener, err := acceptor.Listen(ctx, s.Agent.Listen)
	if err != nil {
		return err
	}
	announceListener, err := acceptor.Listen(ctx, s.Agent.AnnounceListen)
	if err != nil {
		return err
	}
	f := &follower.Follower{
		Addresses: s.Agent.Control, Log: l,
		Self: registrar.Member{
			Name: s.Name, Role: registrar.RoleAgent, Address: s.Agent.Listen,
			FailureDomain: s.FailureDomain, Region: s.Region, Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	return runFollowed(ctx, f, func(ctx context.Context) error {
		// Control confirms the incarnation number, which the gate checks in claims. If
		// control can't be reached, the agent starts anyway and declines new work.
		select {
		case <-ctx.Done():
			return errors.Join(listener.Close(), announceListener.Close())
		case <-f.Accepted():
		case <-time.After(incarnationTimeout):
		}
		a := &agentserver.Agent{
			Self: f.Member(), Listener: listener, AnnounceListener: announceListener, RegisterServices: tel.registerRPC, Log: l,
			View: f.View, Changed: f.Changed, Fresh: usable(f), Announce: f.SetSelf, RecordOutcome: f.RecordOutcome,
			ResumeGrace: time.Duration(s.Agent.ResumeGrace), KeepEnded: time.Duration(s.Agent.KeepEnded),
			Report: func(status agentserver.Status) { f.SetReport(reportOf(status)) },
		}
		return a.Run(ctx)
	})
}

// reportOf converts a status to the report that is sent to control.
func reportOf(status agentserver.Status) *messenger.Report {
	load := status.Load
	packed := follower.PackLoad(follower.Load{
		Used:     follower.LoadShare(load.GetMemoryTokensUsed(), load.GetMemoryTokensTotal()),
		Expected: follower.LoadShare(load.GetMemoryTokensExpected(), load.GetMemoryTokensTotal()),
		Running:  int(load.GetRunning()), Waiting: int(load.GetWaiting()), Leaving: load.GetLeaving(),
	})
	return &messenger.Report{
		MarkNumber: status.MarkNumber, InProgress: uint32(status.InProgress),
		OldestSeconds: uint32(status.Oldest.Seconds()), Load: packed,
	}
}
