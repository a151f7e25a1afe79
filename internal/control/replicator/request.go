package replicator

import (
	"context"
	"errors"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/wire/messenger"
)

// NotSentError reports that a request was not sent to the host, so it has no effect.
type NotSentError struct {
	Cause error
}

var _ error = &NotSentError{}

// Error includes the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Answer handles a request from another control host and returns the reply.
func (r *Replicator) Answer(ctx context.Context, req *messenger.PeerRequest) *messenger.PeerReply {
	switch body := req.Body.(type) {
	case *messenger.PeerRequest_Hello:
		return &messenger.PeerReply{Body: &messenger.PeerReply_Hello{Hello: r.helloReply()}}
	case *messenger.PeerRequest_Propose:
		index, result, err := r.Propose(ctx, body.Propose.Command)
		return &messenger.PeerReply{
			Error: encodeError(err),
			Body:  &messenger.PeerReply_Propose{Propose: &messenger.ProposeReply{Index: index, Result: result}},
		}
	case *messenger.PeerRequest_ConfirmRead:
		index, err := r.ConfirmRead(ctx)
		return &messenger.PeerReply{
			Error: encodeError(err),
			Body:  &messenger.PeerReply_ConfirmRead{ConfirmRead: &messenger.ConfirmReadReply{Index: index}},
		}
	case *messenger.PeerRequest_Join:
		err := r.handleJoin(ctx, body.Join)
		return &messenger.PeerReply{
			Error: encodeError(err), Body: &messenger.PeerReply_Join{Join: &messenger.JoinReply{}},
		}
	case *messenger.PeerRequest_Add:
		err := r.Add(ctx, Peer{Name: body.Add.Name, Address: body.Add.Address})
		return &messenger.PeerReply{Error: encodeError(err), Body: &messenger.PeerReply_Add{Add: &messenger.AddReply{}}}
	case *messenger.PeerRequest_Remove:
		err := r.Remove(ctx, body.Remove.Id)
		return &messenger.PeerReply{
			Error: encodeError(err), Body: &messenger.PeerReply_Remove{Remove: &messenger.RemoveReply{}},
		}
	}
	return &messenger.PeerReply{Error: encodeError(&RefusedError{Reason: "unknown question"})}
}

// askLeader forwards a request to the leader and returns the reply, or the error in it. If
// the request was not sent, the error is NotLeaderError; after any other failure to get a
// reply the outcome is unknown.
func (r *Replicator) askLeader(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error) {
	reply, err := r.Ask(ctx, address, req)
	if unsent := new(NotSentError); errors.As(err, &unsent) {
		return nil, errors.Join(&NotLeaderError{}, err)
	}
	if err != nil {
		return nil, &OutcomeUnknownError{Cause: err}
	}
	return reply, decodeError(reply.Error)
}

// encodeError returns the wire form of an error, which decodeError turns back, except
// that FullError becomes RefusedError. Other errors become OutcomeUnknownError.
func encodeError(err error) *messenger.PeerError {
	if err == nil {
		return nil
	}
	e := &messenger.PeerError{Kind: messenger.PeerError_KIND_OUTCOME_UNKNOWN, Message: err.Error()}
	if notLeader := new(NotLeaderError); errors.As(err, &notLeader) {
		e.Kind = messenger.PeerError_KIND_NOT_LEADER
		e.LeaderName, e.LeaderAddress = notLeader.Name, notLeader.Address
	}
	refused, full := new(RefusedError), new(recorder.FullError)
	if errors.As(err, &refused) {
		e.Kind = messenger.PeerError_KIND_REFUSED
		e.Message = refused.Reason
	}
	if errors.As(err, &full) {
		e.Kind = messenger.PeerError_KIND_REFUSED
	}
	return e
}

func decodeError(e *messenger.PeerError) error {
	switch e.GetKind() {
	case messenger.PeerError_KIND_NONE:
		return nil
	case messenger.PeerError_KIND_NOT_LEADER:
		return &NotLeaderError{Name: e.LeaderName, Address: e.LeaderAddress}
	case messenger.PeerError_KIND_REFUSED:
		return &RefusedError{Reason: e.Message}
	default:
		return &OutcomeUnknownError{Cause: errors.New(e.Message)}
	}
}

func (r *Replicator) helloReply() *messenger.HelloReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &messenger.HelloReply{Name: r.Name, LeaderName: r.leader.Name, LeaderAddress: r.leader.Address}
	if r.running {
		reply.Id = r.rec.ID()
		reply.Members = r.members()
	}
	return reply
}
