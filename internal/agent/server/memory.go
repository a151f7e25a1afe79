package server

import (
	"time"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/agent/gatekeeper"
	"verbenareach/internal/control/registrar"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// reserveMemory admits a generation if its forecast memory fits, and returns a
// DeclinedError otherwise. An admitted one counts until releaseMemory. While the size
// of the memory is unknown, all are admitted.
func (a *Agent) reserveMemory(now time.Time, start *messenger.GenerateStart) error {
	m := a.memory.Load()
	if m == nil {
		return nil
	}
	contract, _ := a.View().Contract(start.GetWorkspace())
	verdict := m.Admit(now, admitter.Work{
		ID:           workID(start),
		Workspace:    start.GetWorkspace(),
		Kind:         start.GetKind(),
		PromptTokens: int(start.GetPromptTokens()),
		Blocks:       start.GetPrefixHashes(),
		Resumed:      len(start.GetDelivered()),
		MaxTokens:    int(start.GetMaxTokens()),
		Priority:     start.GetPriority(),
		Weights:      weightsOf(contract.Weights),
	})
	if verdict.Admit {
		return nil
	}
	a.Log.Emit(now, logger.WorkDeclined, start.GetGenerationId(), logger.F("reason", verdict.Reason), logger.F("expected", verdict.Expected))
	return &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_MEMORY, Detail: string(verdict.Reason), RetryAfter: verdict.RetryAfter}
}

// calibrateMemory sets the admitter's memory size to the engine's, divided by the
// calibrator's factor, because the engine may count prompt tokens differently.
func (a *Agent) calibrateMemory(now time.Time, report engineconnector.Load) {
	m := a.memory.Load()
	total := int(report.MemoryTokensTotal)
	if m == nil || total <= 0 || report.ReportedAt == 0 {
		return
	}
	a.calibrator.RecordCount(now, m.Usage(now).Used)
	a.calibrator.RecordReport(time.Unix(0, report.ReportedAt), int(report.MemoryTokensUsed), total)
	m.SetMemory(int(float64(total) / a.calibrator.Factor()))
}

// currentLoad returns the load at now. It prefers the admitter's count, which is
// newer than the engine's report because all work passes through the agent.
func (a *Agent) currentLoad(now time.Time) *messenger.Load {
	reported := a.load.Load()
	load := &messenger.Load{
		Running:           reported.GetRunning(),
		Waiting:           reported.GetWaiting(),
		MemoryTokensTotal: reported.GetMemoryTokensTotal(),
		MemoryTokensUsed:  reported.GetMemoryTokensUsed(),
		ReportedAt:        reported.GetReportedAt(),
		Leaving:           a.gate.Mark().Leaving,
	}
	m := a.memory.Load()
	if m == nil {
		return load
	}
	usage := m.Usage(now)
	load.Running = uint32(usage.Running)
	load.Waiting = 0
	load.MemoryTokensTotal = uint64(usage.Total)
	load.MemoryTokensUsed = uint64(usage.Used)
	load.MemoryTokensExpected = uint64(usage.Expected)
	load.ReportedAt = now.UnixNano()
	return load
}

// releaseMemory drops an attempt from the admitter and records its length in tokens,
// those of earlier attempts included, if it finished. work is the id returned by
// workID. result is nil if the attempt never began.
func (a *Agent) releaseMemory(work string, result *bufferer.Result, length uint64) {
	m := a.memory.Load()
	switch {
	case m == nil:
	case result != nil && result.FinishReason != "":
		m.Finish(work, int(length))
	default:
		m.Abandon(work)
	}
}

// growMemory records that an attempt has a number of tokens, those of earlier attempts
// included, and preempts generations if memory runs short.
func (a *Agent) growMemory(work string, tokens uint64) {
	m := a.memory.Load()
	if m == nil || !m.Progress(work, int(tokens)) {
		return
	}
	now := time.Now()
	for _, id := range m.Victims(now) {
		s := a.sessionByWork(id)
		if s == nil {
			continue
		}
		next, _ := s.buffer.Next()
		a.Log.Emit(now, logger.WorkPreempted, s.start.GetGenerationId(), logger.F("epoch", s.start.GetEpoch()), logger.F("next", next))
		s.end(bufferer.Result{Cause: "it gave way as the engine's memory ran short", Resumable: true, Preempted: true})
	}
}

// sessionByWork returns the session with an id returned by workID; nil if there is
// none.
func (a *Agent) sessionByWork(work string) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if workID(s.start) == work {
			return s
		}
	}
	return nil
}

// resizeMemory sets the size of the engine's memory, in tokens; 0 means unknown.
// It keeps learned lengths and admitted generations unless the size becomes unknown.
func (a *Agent) resizeMemory(tokens int) {
	m := a.memory.Load()
	switch {
	case tokens <= 0:
		a.memory.Store(nil)
	case m == nil:
		a.memory.Store(admitter.New(admitter.NewSettings(tokens, admitter.Weights{})))
		a.updateWeights()
	default:
		m.SetMemory(tokens)
	}
}

// updateWeights sets the admitter's default weights to the mean of all contracts, if
// there are any. They decide what does not concern a single workspace.
func (a *Agent) updateWeights() {
	m := a.memory.Load()
	if m == nil {
		return
	}
	var sum admitter.Weights
	contracts := 0.0
	a.View().EachContract(func(c registrar.Contract) {
		contracts++
		sum.Preemptions += c.Weights.Preemptions
		sum.StallTime += c.Weights.StallTime
		sum.TailLatency += c.Weights.TailLatency
	})
	if contracts == 0 {
		return
	}
	m.SetWeights(admitter.Weights{
		Preemptions: sum.Preemptions / contracts, StallTime: sum.StallTime / contracts, TailLatency: sum.TailLatency / contracts,
	})
}

func weightsOf(w registrar.Weights) admitter.Weights {
	return admitter.Weights{Preemptions: w.Preemptions, StallTime: w.StallTime, TailLatency: w.TailLatency}
}
