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

// admitMemory declines a generation whose memory would not fit with the wanted
// probability. An admitted one counts until finishMemory.
func (a *Agent) admitMemory(now time.Time, start *messenger.GenerateStart) error {
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

// calibrateMemory corrects the memory that the account may fill by what the
// engine reports, as it may count prompts otherwise than we do.
func (a *Agent) calibrateMemory(now time.Time, report engineconnector.Load) {
	m := a.memory.Load()
	total := int(report.MemoryTokensTotal)
	if m == nil || total <= 0 || report.ReportedAt == 0 {
		return
	}
	a.calibrator.Note(now, m.Account(now).Used)
	a.calibrator.Report(time.Unix(0, report.ReportedAt), int(report.MemoryTokensUsed), total)
	m.SetMemory(int(float64(total) / a.calibrator.Factor()))
}

// currentLoad returns the load at now: the agent's own account, which is ahead
// of the engine's report as all work passes here.
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
	account := m.Account(now)
	load.Running = uint32(account.Running)
	load.Waiting = 0
	load.MemoryTokensTotal = uint64(account.Total)
	load.MemoryTokensUsed = uint64(account.Used)
	load.MemoryTokensExpected = uint64(account.Expected)
	load.ReportedAt = now.UnixNano()
	return load
}

// finishMemory takes an attempt out of the account. Its length is learned from
// if it came to its own end; the result is nil if it never began.
func (a *Agent) finishMemory(work string, result *bufferer.Result, length uint64) {
	m := a.memory.Load()
	switch {
	case m == nil:
	case result != nil && result.FinishReason != "":
		m.Finish(work, int(length))
	default:
		m.Abandon(work)
	}
}

// growMemory counts a token, and lets generations give way where memory runs short.
func (a *Agent) growMemory(work string, tokens uint64) {
	m := a.memory.Load()
	if m == nil || !m.Progress(work, int(tokens)) {
		return
	}
	now := time.Now()
	for _, id := range m.Victims(now) {
		s := a.sessionOf(id)
		if s == nil {
			continue
		}
		next, _ := s.buffer.Next()
		a.Log.Emit(now, logger.WorkPreempted, s.start.GetGenerationId(), logger.F("epoch", s.start.GetEpoch()), logger.F("next", next))
		s.end(bufferer.Result{Cause: "it gave way as the engine's memory ran short", Resumable: true, Preempted: true})
	}
}

// sessionOf returns the session of an attempt, by its id at the gate.
func (a *Agent) sessionOf(work string) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if workID(s.start) == work {
			return s
		}
	}
	return nil
}

// sizeMemory takes what the backend server told of its memory, in tokens; 0 for
// unknown. What was learned and admitted before is kept.
func (a *Agent) sizeMemory(tokens int) {
	m := a.memory.Load()
	switch {
	case tokens <= 0:
		a.memory.Store(nil)
	case m == nil:
		a.memory.Store(admitter.New(admitter.NewSettings(tokens, admitter.Weights{})))
		a.weighMemory()
	default:
		m.SetMemory(tokens)
	}
}

// weighMemory takes the mean weights of all contracts for what is not decided
// by one workspace alone.
func (a *Agent) weighMemory() {
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
