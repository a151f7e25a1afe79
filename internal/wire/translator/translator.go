// Package translator converts values of the replicated state to messages between
// processes and back.
package translator

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

// ChangeFrom returns the change that a message holds.
func ChangeFrom(m *messenger.Change) (registrar.Change, error) {
	c := registrar.Change{Index: m.GetIndex()}
	switch body := m.GetBody().(type) {
	case *messenger.Change_Contract:
		contract, err := ContractFrom(body.Contract)
		if err != nil {
			return registrar.Change{}, err
		}
		c.Contract = &contract
	case *messenger.Change_Mark:
		mark := MarkFrom(body.Mark)
		c.Mark = &mark
	case *messenger.Change_Member:
		member := MemberFrom(body.Member)
		c.Member = &member
	case *messenger.Change_Removed:
		c.Removed = body.Removed
	}
	return c, nil
}

// ChangeTo returns the message for a change.
func ChangeTo(c registrar.Change) (*messenger.Change, error) {
	m := &messenger.Change{Index: c.Index}
	switch {
	case c.Contract != nil:
		data, err := ContractTo(*c.Contract)
		if err != nil {
			return nil, err
		}
		m.Body = &messenger.Change_Contract{Contract: data}
	case c.Mark != nil:
		m.Body = &messenger.Change_Mark{Mark: MarkTo(*c.Mark)}
	case c.Member != nil:
		m.Body = &messenger.Change_Member{Member: MemberTo(*c.Member)}
	default:
		m.Body = &messenger.Change_Removed{Removed: c.Removed}
	}
	return m, nil
}

// ClaimFrom returns the claim that a message holds.
func ClaimFrom(m *messenger.Claim) registrar.Claim {
	return registrar.Claim{
		Workspace: m.GetWorkspace(), Key: m.GetKey(), Digest: m.GetDigest(), Server: m.GetServer(),
		Incarnation: m.GetIncarnation(), Epoch: m.GetEpoch(), Index: m.GetIndex(),
	}
}

// ClaimTo returns the message for a claim.
func ClaimTo(c registrar.Claim) *messenger.Claim {
	return &messenger.Claim{
		Workspace: c.Workspace, Key: c.Key, Digest: c.Digest, Server: c.Server,
		Incarnation: c.Incarnation, Epoch: c.Epoch, Index: c.Index,
	}
}

// ClaimResultTo returns the message for a claim's result.
func ClaimResultTo(r registrar.ClaimResult) (*messenger.ClaimReply, error) {
	m := &messenger.ClaimReply{Status: statusTo(r.Status), Claim: ClaimTo(r.Claim), BodyDropped: r.BodyDropped}
	if r.Status != registrar.ClaimDone {
		return m, nil
	}
	m.Outcome = &messenger.CallReply{}
	return m, eris.Wrap(proto.Unmarshal(r.Reply, m.GetOutcome()), "recorded outcome")
}

// ContractFrom decodes a contract from JSON.
func ContractFrom(data []byte) (registrar.Contract, error) {
	var c registrar.Contract
	return c, eris.Wrap(json.Unmarshal(data, &c), "contract")
}

// ContractTo encodes a contract as JSON.
func ContractTo(c registrar.Contract) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "contract")
}

// MarkFrom returns the mark that a message holds.
func MarkFrom(m *messenger.MarkInfo) registrar.Mark {
	return registrar.Mark{
		Server: m.GetServer(), Number: m.GetNumber(), Leaving: m.GetLeaving(), By: m.GetBy(), At: m.GetAt(),
	}
}

// MarkTo returns the message for a mark.
func MarkTo(m registrar.Mark) *messenger.MarkInfo {
	return &messenger.MarkInfo{Server: m.Server, Number: m.Number, Leaving: m.Leaving, By: m.By, At: m.At}
}

// MemberFrom returns the member that a message holds.
func MemberFrom(m *messenger.MemberInfo) registrar.Member {
	b := m.GetBackend()
	member := registrar.Member{
		Name: m.GetName(), Role: registrar.Role(m.GetRole()), Address: m.GetAddress(),
		FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), Incarnation: m.GetIncarnation(),
		JoinedAt: m.GetJoinedAt(), Ordinal: m.GetOrdinal(),
		Backend: registrar.Backend{
			Kind: registrar.BackendKind(b.GetKind()), Service: b.GetService(),
			MemoryTokens: b.GetMemoryTokens(), ChecksFences: b.GetChecksFences(),
		},
	}
	for _, l := range b.GetModels() {
		loaded := registrar.LoadedModel{Model: l.GetModel(), Adapter: l.GetAdapter(), Version: l.GetVersion()}
		member.Backend.Models = append(member.Backend.Models, loaded)
	}
	return member
}

// MemberTo returns the message for a member.
func MemberTo(m registrar.Member) *messenger.MemberInfo {
	info := &messenger.MemberInfo{
		Name: m.Name, Role: string(m.Role), Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region,
		Incarnation: m.Incarnation, JoinedAt: m.JoinedAt, Ordinal: m.Ordinal,
	}
	if m.Backend.Kind == "" {
		return info
	}
	b := &messenger.BackendInfo{
		Kind: string(m.Backend.Kind), Service: m.Backend.Service,
		MemoryTokens: m.Backend.MemoryTokens, ChecksFences: m.Backend.ChecksFences,
	}
	for _, l := range m.Backend.Models {
		b.Models = append(b.Models, &messenger.ModelInfo{Model: l.Model, Adapter: l.Adapter, Version: l.Version})
	}
	info.Backend = b
	return info
}

func statusTo(s registrar.ClaimStatus) messenger.ClaimStatus {
	switch s {
	case registrar.ClaimGranted:
		return messenger.ClaimStatus_CLAIM_STATUS_GRANTED
	case registrar.ClaimPending:
		return messenger.ClaimStatus_CLAIM_STATUS_PENDING
	case registrar.ClaimDone:
		return messenger.ClaimStatus_CLAIM_STATUS_DONE
	case registrar.ClaimRefused:
		return messenger.ClaimStatus_CLAIM_STATUS_REFUSED
	case registrar.ClaimConflict:
		return messenger.ClaimStatus_CLAIM_STATUS_CONFLICT
	case registrar.ClaimFull:
		return messenger.ClaimStatus_CLAIM_STATUS_FULL
	}
	return messenger.ClaimStatus_CLAIM_STATUS_UNKNOWN
}
