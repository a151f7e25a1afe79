package relayer

import (
	"context"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

type (
	// delivery is one generation, delivered to its caller over one or more attempts. It
	// is owned by one goroutine.
	delivery struct {
		relayer *Relayer
		start   *messenger.GenerateStart
		sink    Sink
		// generation decides which tokens are accepted.
		generation sequencer.Generation
		// texts are all accepted tokens, from index 0 on; their number is generation.Next.
		texts []string
		// callerTokens is how many tokens the caller had before it resumed; those are
		// accepted but not delivered again.
		callerTokens uint64
		// minEpoch is the epoch of the last token that the resuming caller has.
		minEpoch uint32
		// ran is RAN_NO until an attempt may have begun, RAN_YES once one was admitted.
		ran messenger.Ran
		// anyLinkLost is true once the link to an agent was lost: the attempt there may
		// have run, so that a later decline proves nothing.
		anyLinkLost bool
		// deadline is the time by which the current attempt must be admitted.
		deadline time.Time
		// avoid are the targets that declined or lost the generation.
		avoid []Target
	}
)

// run makes attempts until the generation is complete or can't be continued.
func (d *delivery) run(ctx context.Context, deadline time.Time) error {
	d.deadline = deadline
	for {
		target, err := d.relayer.Choose(ctx, time.Now(), d.startMessage(Target{}), d.avoid, d.deadline)
		if ctx.Err() != nil {
			if err == nil {
				d.relayer.report(d.startMessage(target), target, attemptResult{kind: attemptDeclined, callerGone: true})
			}
			return &CallerError{Err: ctx.Err()}
		}
		if err != nil && d.ran == messenger.Ran_RAN_NO {
			return asNotRun(err)
		}
		if err != nil {
			return d.incomplete("no backend server can go on: " + err.Error())
		}
		result, err := d.attempt(ctx, target)
		if err != nil {
			return err
		}
		switch result.kind {
		case attemptEnded:
			return nil
		case attemptFinal:
			return d.finalError(result)
		case attemptLost:
			d.deadline = time.Now().Add(d.relayer.resumeTimeout())
			if result.reason == messenger.DeclineReason_DECLINE_REASON_MEMORY {
				d.deadline = time.Now().Add(preemptedTimeout)
			}
			if ended, err := d.recover(ctx, target, result); ended || err != nil {
				return err
			}
		case attemptUnreached:
			// The start message may have arrived, so its epoch can't be used again.
			d.generation = d.generation.WithNextEpoch()
		}
		d.avoid = append(d.avoid, target)
	}
}

// recover attaches to the same agent once more, as often only the link was lost, and
// starts the next epoch if that fails. If ended is true, no further attempt may follow: the
// generation is complete or err is set.
func (d *delivery) recover(ctx context.Context, target Target, lost attemptResult) (ended bool, err error) {
	log := d.relayer.Log
	if lost.linkLost {
		result, err := d.attach(ctx, target)
		if err != nil || result.kind == attemptEnded {
			return true, err
		}
		if result.kind == attemptFinal {
			return true, d.incomplete(result.cause)
		}
		go d.relayer.abandon(context.WithoutCancel(ctx), target, &messenger.AbandonRequest{
			GenerationId: d.generation.ID, Workspace: d.start.GetWorkspace(), Epoch: d.generation.Epoch,
		})
	}
	d.generation = d.generation.WithNextEpoch()
	log.Emit(time.Now(), logger.GenerationResumed, d.generation.ID, logger.F("epoch", d.generation.Epoch),
		logger.F("next", d.generation.Next), logger.F("left", target.Server), logger.F("cause", lost.cause))
	return false, nil
}

// resume continues the generation after an attached attempt that was lost.
func (d *delivery) resume(ctx context.Context, target Target, result attemptResult) error {
	if result.kind == attemptFinal {
		return d.incomplete(result.cause)
	}
	if d.generation.Next < d.callerTokens {
		// Generating them again could yield tokens that differ from the caller's.
		return d.incomplete("tokens that the caller has are lost here")
	}
	if d.start.GetModel() == "" {
		return d.incomplete("the agent was lost before it told how the generation began")
	}
	if ended, err := d.recover(ctx, target, result); ended || err != nil {
		return err
	}
	d.avoid = append(d.avoid, target)
	return d.run(ctx, time.Now().Add(d.relayer.resumeTimeout()))
}

// deliver accepts a batch of tokens and delivers those that the caller does not have.
func (d *delivery) deliver(tokens *messenger.Tokens) error {
	texts := tokens.GetTexts()
	after, skip, err := d.generation.Accept(tokens.GetEpoch(), tokens.GetFirstIndex(), len(texts))
	if err != nil {
		return err
	}
	if skip > 0 {
		d.relayer.Log.Emit(time.Now(), logger.TokenDropped, d.generation.ID, logger.F("epoch", tokens.GetEpoch()),
			logger.F("first", tokens.GetFirstIndex()), logger.F("dropped", skip))
	}
	fresh := texts[skip:]
	first := d.generation.Next
	d.generation = after
	d.texts = append(d.texts, fresh...)
	if d.callerTokens > first {
		known := min(d.callerTokens-first, uint64(len(fresh)))
		fresh = fresh[known:]
		first += known
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := d.sink.Tokens(first, fresh); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// finalError returns the error for an attempt that must not be followed by another. It
// is a RefusedError if the first engine refused the request, which then never ran.
func (d *delivery) finalError(result attemptResult) error {
	if result.refusedStatus != 0 && d.generation.Epoch == 1 && d.generation.Next == 0 {
		return &RefusedError{Status: result.refusedStatus, Cause: result.cause}
	}
	return d.incomplete(result.cause)
}

// incomplete logs that the generation is lost and returns the error.
func (d *delivery) incomplete(cause string) error {
	d.relayer.Log.Emit(time.Now(), logger.GenerationLost, d.generation.ID, logger.F("cause", cause), logger.F("next", d.generation.Next))
	return &IncompleteError{Cause: cause, Next: d.generation.Next, Ran: d.ran}
}

// startMessage returns the start message for the current epoch at target.
func (d *delivery) startMessage(target Target) *messenger.GenerateStart {
	from := d.start
	return &messenger.GenerateStart{
		GenerationId: from.GetGenerationId(), Epoch: d.generation.Epoch, Workspace: from.GetWorkspace(),
		Model: from.GetModel(), Adapter: from.GetAdapter(), Version: from.GetVersion(), Path: from.GetPath(),
		Request: from.GetRequest(), Delivered: d.texts, Seed: from.GetSeed(), MaxTokens: from.GetMaxTokens(),
		Priority: from.GetPriority(), Kind: from.GetKind(), PromptTokens: from.GetPromptTokens(),
		PrefixHashes: from.GetPrefixHashes(), AdmitDeadline: d.deadline.UnixNano(), Incarnation: target.Incarnation,
	}
}
