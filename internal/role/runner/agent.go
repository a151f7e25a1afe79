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

// settleWait is how long an agent waits for control to settle its incarnation.
const settleWait = 2 * time.Second

func runAgent(ctx context.Context, s parser.Settings, in *insight) error {
	l := in.log
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
		// Control settles the incarnation, which the gate checks in claims. Without
		// control the agent starts all the same, and declines new work at once.
		select {
		case <-ctx.Done():
			return errors.Join(listener.Close(), announceListener.Close())
		case <-f.Settled():
		case <-time.After(settleWait):
		}
		a := &agentserver.Agent{
			Self: f.Member(), Listener: listener, AnnounceListener: announceListener, RegisterPeer: in.register, Log: l,
			View: f.View, Changed: f.Changed, Fresh: usable(f), Announce: f.SetSelf, RecordOutcome: f.RecordOutcome,
			Report: func(status agentserver.Status) { f.SetReport(reportOf(status)) },
		}
		return a.Run(ctx)
	})
}

// reportOf returns a status as control hears it.
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
