package runner

import (
	"context"
	"time"

	"verbenareach/internal/fleet/keeper"
	"verbenareach/internal/wire/messenger"
)

type (
	// service answers other hosts' calls.
	service struct {
		host *Runner
	}

	// peers answers the calls of the replicated logs of other hubs.
	peers struct {
		keeper *keeper.Keeper
	}
)

var (
	_ messenger.DRPCFleetServer = &service{}
	_ messenger.DRPCPeersServer = &peers{}
)

// Configure stores a configuration in the replicated log. Failures are in the reply.
func (s *service) Configure(ctx context.Context, req *messenger.ConfigureRequest) (*messenger.ConfigureReply, error) {
	if s.host.keeper == nil {
		return &messenger.ConfigureReply{Error: "host is no hub"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	version, err := s.host.keeper.Put(ctx, req.Version, req.Body)
	return &messenger.ConfigureReply{Version: version, Error: errorText(err)}, nil
}

// Fetch returns the configuration in force, or with Confirm the one that a quorum read
// returns. The body is omitted if the caller already has that version.
func (s *service) Fetch(ctx context.Context, req *messenger.FetchRequest) (*messenger.FetchReply, error) {
	if req.Confirm && s.host.keeper == nil {
		return &messenger.FetchReply{Error: "host is no hub"}, nil
	}
	reply := &messenger.FetchReply{}
	if req.Confirm {
		ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
		defer cancel()
		version, packed, err := s.host.keeper.ReadConfirmed(ctx)
		if err != nil {
			return &messenger.FetchReply{Error: err.Error()}, nil
		}
		reply.Version, reply.Body = version, packed
	} else if held := s.host.packed.Load(); held != nil {
		reply.Version, reply.Body = held.version, held.packed
	}
	if reply.Version <= req.Held {
		reply.Body = nil
	}
	return reply, nil
}

// Evacuate changes the evacuations in the replicated log. Failures are in the reply.
func (s *service) Evacuate(ctx context.Context, req *messenger.EvacuateRequest) (*messenger.EvacuateReply, error) {
	if s.host.keeper == nil {
		return &messenger.EvacuateReply{Error: "host is no hub"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	// The host that calls may have had its order committed by another hub.
	if err := requireCaller(ctx); err != nil {
		return &messenger.EvacuateReply{Error: errorText(err)}, nil
	}
	revision, err := s.host.commitEvacuation(ctx, req)
	return &messenger.EvacuateReply{Revision: revision, Error: errorText(err)}, nil
}

// Inform records and passes on reports that another host received.
func (s *service) Inform(_ context.Context, req *messenger.InformRequest) (*messenger.InformReply, error) {
	s.host.informer.Handle(time.Now(), req)
	return &messenger.InformReply{}, nil
}

// Introduce answers another host's introduction.
func (s *service) Introduce(_ context.Context, req *messenger.IntroduceRequest) (*messenger.IntroduceReply, error) {
	return s.host.linker.HandleIntroduction(time.Now(), req), nil
}

// Link serves a link that another host opened.
func (s *service) Link(stream messenger.DRPCFleet_LinkStream) error {
	return s.host.linker.Accept(stream)
}

// Ask answers a request to the replicated log.
func (p *peers) Ask(ctx context.Context, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	answering := p.keeper.Service()
	if answering == nil {
		return nil, keeper.ErrNotRunning
	}
	return answering.Ask(ctx, req)
}

// Exchange handles the message stream of another hub.
func (p *peers) Exchange(stream messenger.DRPCPeers_ExchangeStream) error {
	answering := p.keeper.Service()
	if answering == nil {
		return keeper.ErrNotRunning
	}
	return answering.Exchange(stream)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
