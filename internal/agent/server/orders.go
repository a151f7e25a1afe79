package server

import (
	"context"
	"errors"
	"time"

	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// Order forwards an order to the engine unless a newer one was accepted. The
// fencing number goes along for engines that check it. A refusal is a reply that isn't
// accepted; after an error it is unknown whether the engine got the order.
func (p *peerService) Order(ctx context.Context, req *messenger.OrderRequest) (*messenger.OrderReply, error) {
	a := p.agent
	if req.GetServer() != a.Self.Name {
		return &messenger.OrderReply{CurrentFence: a.currentFence(), Detail: "for another backend server"}, nil
	}
	if !a.advanceFence(req.GetFence()) {
		a.Log.Emit(time.Now(), logger.OrderRefused, a.Self.Name, logger.F("fence", req.GetFence()), logger.F("current", a.currentFence()))
		return &messenger.OrderReply{CurrentFence: a.currentFence(), Detail: "a newer order was taken"}, nil
	}
	b := a.currentBackend()
	if b == nil || b.engine == nil {
		return &messenger.OrderReply{CurrentFence: a.currentFence(), Detail: "no engine"}, nil
	}
	err := b.engine.Order(ctx, engineconnector.Order{
		Fence: req.GetFence(), Kind: req.GetKind(), Model: req.GetModel(), Adapter: req.GetAdapter(), Version: req.GetVersion(), Role: req.GetRole(),
	})
	var refused *engineconnector.RefusedError
	if errors.As(err, &refused) {
		return &messenger.OrderReply{CurrentFence: a.currentFence(), Detail: refused.Error()}, nil
	}
	if err != nil {
		return nil, err
	}
	a.Log.Emit(time.Now(), logger.OrderForwarded, a.Self.Name, logger.F("fence", req.GetFence()), logger.F("kind", req.GetKind()), logger.F("model", req.GetModel()))
	return &messenger.OrderReply{Accepted: true, CurrentFence: a.currentFence()}, nil
}

func (a *Agent) currentFence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fence
}

// advanceFence reports whether an order with this fencing number is accepted, and
// records the number. The same number is accepted again, because the sender of an
// order may have missed the reply.
func (a *Agent) advanceFence(fence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return false
	}
	a.fence = fence
	return true
}
