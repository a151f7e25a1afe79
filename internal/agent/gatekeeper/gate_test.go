package gatekeeper

import (
	"errors"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

func TestAdmit(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name        string
		change      func(g *Gate)
		incarnation uint64
		want        messenger.DeclineReason
	}{
		{name: "open", incarnation: 7},
		{name: "any incarnation"},
		{name: "another incarnation", incarnation: 6, want: messenger.DeclineReason_DECLINE_REASON_INCARNATION},
		{name: "leaving", change: func(g *Gate) { g.ApplyMark(Mark{1, true}) }, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "returned", change: func(g *Gate) { g.ApplyMark(Mark{1, true}); g.ApplyMark(Mark{2, false}) }},
		{name: "late return", change: func(g *Gate) { g.ApplyMark(Mark{3, true}); g.ApplyMark(Mark{2, false}) }, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "announced again while leaving", change: func(g *Gate) { g.ApplyMark(Mark{1, true}); g.SetReady(true) }, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "leaving in the view only", change: func(g *Gate) { g.NewestMark = func() Mark { return Mark{1, true} } }, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "leaving, older view", change: func(g *Gate) {
			g.ApplyMark(Mark{2, true})
			g.NewestMark = func() Mark { return Mark{1, false} }
		}, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "stopping", change: func(g *Gate) { g.Stop() }, want: messenger.DeclineReason_DECLINE_REASON_LEAVING},
		{name: "stale", change: func(g *Gate) { g.Fresh = func(time.Time) bool { return false } }, want: messenger.DeclineReason_DECLINE_REASON_NOT_READY},
		{name: "backend server down", change: func(g *Gate) { g.SetReady(false) }, want: messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gate{Incarnation: 7, Fresh: func(time.Time) bool { return true }}
			g.SetReady(true)
			if tt.change != nil {
				tt.change(g)
			}
			err := g.Admit(now, Work{ID: "w"}, tt.incarnation)
			var declined *DeclinedError
			if errors.As(err, &declined) != (tt.want != 0) || declined != nil && declined.Reason != tt.want {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestIdle(t *testing.T) {
	g := &Gate{Fresh: func(time.Time) bool { return true }}
	g.SetReady(true)
	<-g.Idle()
	for _, id := range []string{"a", "b"} {
		if err := g.Admit(time.Unix(1, 0), Work{ID: id}, 0); err != nil {
			t.Fatal(err)
		}
	}
	idle := g.Idle()
	g.Finish("a")
	select {
	case <-idle:
		t.Fatal("idle while work is in progress")
	default:
	}
	g.Finish("b")
	<-idle
}
