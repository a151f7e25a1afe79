package relayer

import (
	"context"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

type (
	// course is one generation on its way over one or more attempts. One goroutine
	// owns it.
	course struct {
		relayer *Relayer
		start   *messenger.GenerateStart
		sink    Sink
		// generation decides which tokens are taken.
		generation sequencer.Generation
		// texts are all tokens taken, from index 0 on; their number is generation.Next.
		texts []string
		// callerHas is how many tokens the caller had before it resumed; those are
		// taken but not delivered again.
		callerHas uint64
		// leastEpoch is the attempt that the resuming caller's last token came from.
		leastEpoch uint32
		// ran is RAN_NO until an attempt may have begun, RAN_YES once one was admitted.
		ran messenger.Ran
		// maybeElsewhere is true once an attempt broke off without an answer, so that
		// a later decline proves nothing.
		maybeElsewhere bool
		// deadline is until when the current attempt must be admitted.
		deadline time.Time
		// avoid are the targets that declined or lost the generation lately.
		avoid []Target
	}
)

// run makes attempts until the generation is whole or nothing can go on.
func (c *course) run(ctx context.Context, deadline time.Time) error {
	c.deadline = deadline
	for {
		target, err := c.relayer.Choose(ctx, time.Now(), c.startMessage(Target{}), c.avoid, c.deadline)
		if ctx.Err() != nil {
			if err == nil {
				c.relayer.report(c.startMessage(target), target, attemptResult{kind: attemptDeclined, callerGone: true})
			}
			return &CallerError{Err: ctx.Err()}
		}
		if err != nil && c.ran == messenger.Ran_RAN_NO {
			return asNotRun(err)
		}
		if err != nil {
			return c.incomplete("no backend server can go on: " + err.Error())
		}
		result, err := c.attempt(ctx, target)
		if err != nil {
			return err
		}
		switch result.kind {
		case attemptEnded:
			return nil
		case attemptFinal:
			return c.failed(result)
		case attemptLost:
			c.deadline = time.Now().Add(c.relayer.resumeTimeout())
			if result.reason == messenger.DeclineReason_DECLINE_REASON_MEMORY {
				c.deadline = time.Now().Add(preemptedTimeout)
			}
			if ended, err := c.recover(ctx, target, result); ended || err != nil {
				return err
			}
		case attemptUnreached:
			// The start may have arrived: its epoch is used up.
			c.generation = c.generation.WithNextEpoch()
		}
		c.avoid = append(c.avoid, target)
	}
}

// recover tries the same agent once more, as often only the link was lost, and
// prepares the next epoch when that fails.
func (c *course) recover(ctx context.Context, target Target, lost attemptResult) (ended bool, err error) {
	log := c.relayer.Log
	if lost.linkLost {
		result, err := c.attach(ctx, target)
		if err != nil || result.kind == attemptEnded {
			return true, err
		}
		if result.kind == attemptFinal {
			return true, c.incomplete(result.cause)
		}
		go c.relayer.abandon(context.WithoutCancel(ctx), target, &messenger.AbandonRequest{
			GenerationId: c.generation.ID, Workspace: c.start.GetWorkspace(), Epoch: c.generation.Epoch,
		})
	}
	c.generation = c.generation.WithNextEpoch()
	log.Emit(time.Now(), logger.GenerationResumed, c.generation.ID, logger.F("epoch", c.generation.Epoch),
		logger.F("next", c.generation.Next), logger.F("left", target.Server), logger.F("cause", lost.cause))
	return false, nil
}

// resume goes on after an attached attempt that was lost.
func (c *course) resume(ctx context.Context, target Target, result attemptResult) error {
	if result.kind == attemptFinal {
		return c.incomplete(result.cause)
	}
	if c.generation.Next < c.callerHas {
		// Making them again could give other tokens than the caller has.
		return c.incomplete("tokens that the caller has are lost here")
	}
	if c.start.GetModel() == "" {
		return c.incomplete("the agent was lost before it told how the generation began")
	}
	if ended, err := c.recover(ctx, target, result); ended || err != nil {
		return err
	}
	c.avoid = append(c.avoid, target)
	return c.run(ctx, time.Now().Add(c.relayer.resumeTimeout()))
}

// take accepts a batch of tokens and delivers what the caller lacks.
func (c *course) take(tokens *messenger.Tokens) error {
	texts := tokens.GetTexts()
	after, skip, err := c.generation.Accept(tokens.GetEpoch(), tokens.GetFirstIndex(), len(texts))
	if err != nil {
		return err
	}
	if skip > 0 {
		c.relayer.Log.Emit(time.Now(), logger.TokenDropped, c.generation.ID, logger.F("epoch", tokens.GetEpoch()),
			logger.F("first", tokens.GetFirstIndex()), logger.F("dropped", skip))
	}
	fresh := texts[skip:]
	first := c.generation.Next
	c.generation = after
	c.texts = append(c.texts, fresh...)
	if c.callerHas > first {
		known := min(c.callerHas-first, uint64(len(fresh)))
		fresh = fresh[known:]
		first += known
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := c.sink.Tokens(first, fresh); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// failed tells of an attempt after which none may follow. A request that the
// first engine asked refused never ran.
func (c *course) failed(result attemptResult) error {
	if result.refusedStatus != 0 && c.generation.Epoch == 1 && c.generation.Next == 0 {
		return &RefusedError{Status: result.refusedStatus, Cause: result.cause}
	}
	return c.incomplete(result.cause)
}

func (c *course) incomplete(cause string) error {
	c.relayer.Log.Emit(time.Now(), logger.GenerationLost, c.generation.ID, logger.F("cause", cause), logger.F("next", c.generation.Next))
	return &IncompleteError{Cause: cause, Next: c.generation.Next, Ran: c.ran}
}

// startMessage returns the start of the current attempt at target.
func (c *course) startMessage(target Target) *messenger.GenerateStart {
	from := c.start
	return &messenger.GenerateStart{
		GenerationId: from.GetGenerationId(), Epoch: c.generation.Epoch, Workspace: from.GetWorkspace(),
		Model: from.GetModel(), Adapter: from.GetAdapter(), Version: from.GetVersion(), Path: from.GetPath(),
		Request: from.GetRequest(), Delivered: c.texts, Seed: from.GetSeed(), MaxTokens: from.GetMaxTokens(),
		Priority: from.GetPriority(), Kind: from.GetKind(), PromptTokens: from.GetPromptTokens(),
		PrefixHashes: from.GetPrefixHashes(), AdmitDeadline: c.deadline.UnixNano(), Incarnation: target.Incarnation,
	}
}
