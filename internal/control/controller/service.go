package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

// service serves the calls of other processes.
type service struct {
	c *Controller
}

// Claim commits a claim, or returns the status of the one under the same key.
func (s *service) Claim(ctx context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	m := registrar.MakeClaim{
		Claim: translator.ClaimFrom(r.GetClaim()), Claimant: r.GetClaimant(), AfterEpoch: r.GetAfterEpoch(),
	}
	return s.claim(ctx, registrar.Command{Claim: &m})
}

// Exchange receives the loads that another control host forwards.
func (s *service) Exchange(stream messenger.DRPCControl_ExchangeStream) error {
	return s.c.distributor.Exchange(stream)
}

// Fence issues the next fencing number of a backend server.
func (s *service) Fence(ctx context.Context, r *messenger.FenceRequest) (*messenger.FenceReply, error) {
	order := r.GetOrder()
	member, _ := s.c.distributor.View().Member(order.GetServer())
	f := registrar.IssueFence{
		Server: order.GetServer(), Holder: r.GetHolder(), Lease: registrar.Duration(r.GetLeaseNanos()),
		Load: order.GetKind() == "loadModel", ChecksFences: member.Backend.ChecksFences,
	}
	result, err := s.c.Propose(ctx, registrar.Command{Fence: &f})
	if err != nil {
		return nil, err
	}
	if result.Fence == nil {
		return nil, eris.New("control didn't understand the request for a fencing number")
	}
	return &messenger.FenceReply{
		Fence: result.Fence.Fence, WaitNanos: int64(result.Fence.Wait), Detail: result.Fence.Detail,
	}, nil
}

// FinishLoad releases a weight-store permit.
func (s *service) FinishLoad(ctx context.Context, r *messenger.FinishLoadRequest) (*messenger.FinishLoadReply, error) {
	f := registrar.FinishLoad{Server: r.GetServer(), Fence: r.GetFence()}
	_, err := s.c.Propose(ctx, registrar.Command{FinishLoad: &f})
	return &messenger.FinishLoadReply{}, err
}

// Follow serves one follower.
func (s *service) Follow(stream messenger.DRPCControl_FollowStream) error {
	return s.c.distributor.Follow(stream)
}

// Followers returns the state of this host's followers and the agents' answers to
// its marks.
func (s *service) Followers(_ context.Context, _ *messenger.FollowersRequest) (*messenger.FollowersReply, error) {
	reply := s.c.distributor.Followers(time.Now())
	reply.Acks = s.c.markPusher.listAcks()
	return reply, nil
}

// PushMark sends an agent its mark on behalf of another control host.
func (s *service) PushMark(ctx context.Context, r *messenger.PushMarkRequest) (*messenger.PushMarkReply, error) {
	return s.c.markPusher.deliver(ctx, r)
}

// RecordOutcome commits a claimed call's answer. Of an answer above MaxOutcomeBytes
// it keeps only whether the call ran and the status. An outcome never changes, so only
// that of a call that ran is committed.
func (s *service) RecordOutcome(ctx context.Context, r *messenger.OutcomeRequest) (*messenger.ClaimReply, error) {
	if r.GetOutcome().GetRan() != messenger.Ran_RAN_YES {
		return nil, eris.Errorf("outcome %s is not final", r.GetOutcome().GetRan())
	}
	o := registrar.RecordOutcome{Claim: translator.ClaimFrom(r.GetClaim())}
	data, err := proto.Marshal(r.GetOutcome())
	if err != nil {
		return nil, eris.Wrap(err, "outcome")
	}
	if len(data) > registrar.MaxOutcomeBytes {
		short := &messenger.CallReply{Ran: r.GetOutcome().GetRan(), Status: r.GetOutcome().GetStatus()}
		if data, err = proto.Marshal(short); err != nil {
			return nil, eris.Wrap(err, "outcome")
		}
		o.BodyDropped = true
	}
	o.Reply = data
	return s.claim(ctx, registrar.Command{Outcome: &o})
}

// RecordRefusal commits that a claim is proved not to have run.
func (s *service) RecordRefusal(ctx context.Context, r *messenger.RefusalRequest) (*messenger.ClaimReply, error) {
	f := registrar.RefuseClaim{Claim: translator.ClaimFrom(r.GetClaim())}
	return s.claim(ctx, registrar.Command{Refuse: &f})
}

func (s *service) claim(ctx context.Context, command registrar.Command) (*messenger.ClaimReply, error) {
	result, err := s.c.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if result.Claim == nil {
		return nil, eris.New("control didn't understand the claim")
	}
	return translator.ClaimResultTo(*result.Claim)
}
