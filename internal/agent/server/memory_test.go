package server

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/agent/gatekeeper"
	"verbenareach/internal/control/registrar"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/wire/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

func newMemoryAgent(memoryTokens int) *Agent {
	view := registrar.View{}.WithContract(1, registrar.Contract{Workspace: "w", Weights: registrar.Weights{Preemptions: 10, StallTime: 1}})
	a := &Agent{View: func() registrar.View { return view }}
	a.prepare()
	a.resizeMemory(memoryTokens)
	return a
}

func memoryStart(i, prompt int) *messenger.GenerateStart {
	return &messenger.GenerateStart{GenerationId: fmt.Sprint("g", i), Epoch: 1, Workspace: "w", Kind: "k", PromptTokens: uint32(prompt)}
}

// begin admits a generation and creates its session, as open does.
func begin(t *testing.T, a *Agent, start *messenger.GenerateStart) (*session, context.Context) {
	t.Helper()
	if err := a.reserveMemory(epoch, start); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &session{start: start, buffer: bufferer.NewBuffer(nil), cancel: cancel}
	a.sessions[start.GetGenerationId()] = s
	return s, ctx
}

func TestReserveMemoryDeclines(t *testing.T) {
	a := newMemoryAgent(2000)
	begin(t, a, memoryStart(1, 1500))
	var declined *gatekeeper.DeclinedError
	if err := a.reserveMemory(epoch, memoryStart(2, 600)); !errors.As(err, &declined) || declined.Reason != messenger.DeclineReason_DECLINE_REASON_MEMORY {
		t.Fatalf("admitted over the memory: %v", err)
	}
	if load := a.currentLoad(epoch); load.GetRunning() != 1 || load.GetMemoryTokensUsed() < 1500 || load.GetMemoryTokensTotal() != 2000 {
		t.Errorf("load %v", load)
	}
	a.releaseMemory(workID(memoryStart(1, 0)), &bufferer.Result{FinishReason: "stop"}, 10)
	if err := a.reserveMemory(epoch, memoryStart(2, 600)); err != nil {
		t.Errorf("declined with memory free: %v", err)
	}
}

func TestGrowMemoryPreemptsOne(t *testing.T) {
	a := newMemoryAgent(2000)
	for i := range 100 {
		past := memoryStart(1000+i, 1)
		if err := a.reserveMemory(epoch, past); err != nil {
			t.Fatal(err)
		}
		a.releaseMemory(workID(past), &bufferer.Result{FinishReason: "stop"}, 1700)
	}
	long, longCtx := begin(t, a, memoryStart(1, 100))
	a.growMemory(workID(long.start), 1000)
	young, youngCtx := begin(t, a, &messenger.GenerateStart{GenerationId: "young", Epoch: 1, Workspace: "w", Kind: "k", PromptTokens: 500, MaxTokens: 400})
	a.growMemory(workID(young.start), 5)
	for n := uint64(1001); n < 1600; n++ {
		a.growMemory(workID(long.start), n)
	}
	if youngCtx.Err() == nil || longCtx.Err() != nil {
		t.Fatalf("young ended %v, long ended %v", youngCtx.Err(), longCtx.Err())
	}
	_, result := young.buffer.Next()
	if result == nil || !result.Preempted || !result.Resumable {
		t.Errorf("result %+v", result)
	}
	if failed := failedMessage(1, result).GetFailed(); failed.GetReason() != messenger.DeclineReason_DECLINE_REASON_MEMORY || !failed.GetResumable() {
		t.Errorf("entry gets %v", failed)
	}
}

func TestCalibrateMemory(t *testing.T) {
	a := newMemoryAgent(2000)
	bounded := func(i, prompt int) *messenger.GenerateStart {
		start := memoryStart(i, prompt)
		start.MaxTokens = 3
		return start
	}
	begin(t, a, bounded(1, 800))
	now := epoch
	for range 300 {
		now = now.Add(250 * time.Millisecond)
		// The engine counts twice as many tokens for the same prompt.
		a.calibrateMemory(now, engineconnector.Load{MemoryTokensTotal: 2000, MemoryTokensUsed: 1632, ReportedAt: now.Add(-time.Second).UnixNano()})
	}
	if err := a.reserveMemory(now, bounded(2, 400)); err == nil {
		t.Error("admitted a generation that exceeds the engine's memory")
	}
	if err := a.reserveMemory(now, bounded(3, 40)); err != nil {
		t.Errorf("declined a generation that fits in the engine's memory: %v", err)
	}
}

func TestUnknownMemoryAdmitsAll(t *testing.T) {
	a := newMemoryAgent(0)
	for i := range 100 {
		if err := a.reserveMemory(epoch, memoryStart(i, 10_000)); err != nil {
			t.Fatal(err)
		}
	}
}
