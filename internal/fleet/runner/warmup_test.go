package runner

import (
	"testing"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/keeper"
	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

func TestReportSaysWhetherItsServerIsCold(t *testing.T) {
	const warmUp = 4 * time.Second
	now := time.Unix(1000, 0)
	said := func(d time.Duration) *time.Duration { return &d }
	known := &messenger.Backend{Id: "s", Service: "llm", Address: "1", Started: 5, Sequence: 7}
	for _, tt := range []struct {
		name              string
		uptime            time.Duration
		started, sequence int64
		cold              *time.Duration
		want              time.Duration
	}{
		{"says so", time.Minute, 5, 8, said(2 * time.Second), 2 * time.Second},
		{"says so, host just started", 0, 5, 8, said(2 * time.Second), 2 * time.Second},
		{"is late", time.Minute, 5, 6, said(2 * time.Second), 0},
		{"is of an earlier process", time.Minute, 4, 9, said(2 * time.Second), 0},
		{"does not say, known process", time.Minute, 5, 8, nil, 0},
		{"does not say, new process", time.Minute, 6, 1, nil, warmUp},
		{"does not say, new process, fleet just started", warmUp, 6, 1, nil, 0},
		{"says it is warm, new process", time.Minute, 6, 1, said(0), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &Runner{tracker: &tracker.Tracker{Name: "host", SilenceTimeout: time.Second}, startedAt: now.Add(-tt.uptime)}
			h.throttler = &throttler.Throttler{
				PublishWarmUps: func(string, []*messenger.WarmUp) {}, ColdRate: h.coldRate, ColdShare: func() float64 { return 1 },
			}
			h.catalog.Store(&cataloger.Catalog{Services: map[string]cataloger.Service{
				"llm": {Name: "llm", WarmUp: cataloger.WarmUp{Time: warmUp, PerSecond: 10}},
			}})
			h.tracker.Heartbeat(now, known)
			report := &messenger.Backend{Id: "s", Service: "llm", Address: "1", Started: tt.started, Sequence: tt.sequence}
			h.recordWarmUp(now, report, tt.cold)
			if left, _ := h.throttler.IsCold(now, report); left != tt.want {
				t.Errorf("cold for %v, want %v", left, tt.want)
			}
		})
	}
}

func TestServerThatSaidItIsColdBeforeTheConfigurationCameCountsAsWarm(t *testing.T) {
	now := time.Unix(1000, 0)
	const left = 2 * time.Second
	for _, tt := range []struct {
		name   string
		before *cataloger.Catalog
	}{
		{"host without a configuration", nil},
		{"service that is not in it yet", &cataloger.Catalog{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &Runner{tracker: &tracker.Tracker{Name: "host", SilenceTimeout: time.Second}, startedAt: now}
			h.throttler = &throttler.Throttler{
				PublishWarmUps: func(string, []*messenger.WarmUp) {}, ColdRate: h.coldRate, ColdShare: func() float64 { return 1 },
			}
			h.catalog.Store(tt.before)
			report := &messenger.Backend{Id: "s", Service: "rota", Address: "1", Started: 5, Sequence: 7}
			cold := left
			h.recordWarmUp(now, report, &cold)
			h.tracker.Heartbeat(now, report)
			h.catalog.Store(&cataloger.Catalog{Services: map[string]cataloger.Service{
				"rota": {Name: "rota", WarmUp: cataloger.WarmUp{Time: left, PerSecond: 10}},
			}})
			if got, isCold := h.throttler.IsCold(now, report); !isCold || got != left {
				t.Errorf("cold: %v, for %v, want %v", isCold, got, left)
			}
		})
	}
}

func TestHubThatKnowsNoOtherGrantsTheWholeBoundBesideTheLeader(t *testing.T) {
	self := &messenger.FleetHost{Name: "a", Hub: true}
	h := &Runner{Settings: Settings{Host: self}, linker: &linker.Linker{Self: self}, keeper: &keeper.Keeper{}}
	for range 2 {
		if share := h.coldShare(); share > standInShare {
			t.Errorf("a hub that does not lead and knows %d hubs may grant %v of the bound", len(h.linker.Hubs()), share)
		}
		h.linker.HandleIntroduction(time.Now(), &messenger.IntroduceRequest{Host: self})
	}
}
