package replicator

import (
	"context"
	"fmt"
	"slices"

	"verbenareach/internal/wire/messenger"
)

// Identity is a host as it answered to Identify.
type Identity struct {
	Peer
	// ID is the identity of its data folder.
	ID string
	// members is the membership that its log holds.
	members []*messenger.LogMember
}

// Identify asks the host at an address for its identity. It fails with RefusedError if the host
// does not answer, is still starting or has another name.
func (r *Replicator) Identify(ctx context.Context, host Peer) (Identity, error) {
	reply, err := r.Ask(ctx, host.Address, &messenger.PeerRequest{
		Body: &messenger.PeerRequest_Hello{Hello: &messenger.HelloRequest{Name: r.Name}},
	})
	if err != nil {
		return Identity{}, &RefusedError{Reason: fmt.Sprintf("%s does not answer at %s: %v", host.Name, host.Address, err)}
	}
	hello := reply.GetHello()
	if hello.GetName() != host.Name {
		return Identity{}, &RefusedError{Reason: fmt.Sprintf("host at %s calls itself %q", host.Address, hello.GetName())}
	}
	if hello.GetId() == "" {
		return Identity{}, &RefusedError{Reason: host.Name + " is still starting: try again"}
	}
	return Identity{Peer: host, ID: hello.Id, members: hello.Members}, nil
}

// shareMember reports whether two memberships share an identity. Memberships of the same
// log do, even if one of them is outdated.
func shareMember(a, b []*messenger.LogMember) bool {
	return slices.ContainsFunc(a, func(m *messenger.LogMember) bool {
		return slices.ContainsFunc(b, func(o *messenger.LogMember) bool { return o.Id == m.Id })
	})
}
