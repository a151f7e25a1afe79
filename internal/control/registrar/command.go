package registrar

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

type (
	// Command is one entry of the replicated log, which State.Apply executes.
	// Exactly one field is set.
	Command struct {
		PutContract *PutContract    `json:"putContract,omitempty"`
		SetMark     *SetMark        `json:"setMark,omitempty"`
		Announce    *AnnounceMember `json:"announce,omitempty"`
		Expire      *ExpireMember   `json:"expire,omitempty"`
		Claim       *MakeClaim      `json:"claim,omitempty"`
		Outcome     *RecordOutcome  `json:"outcome,omitempty"`
		Refuse      *RefuseClaim    `json:"refuse,omitempty"`
		Fence       *IssueFence     `json:"fence,omitempty"`
		FinishLoad  *FinishLoad     `json:"finishLoad,omitempty"`
		Tick        *Tick           `json:"tick,omitempty"`
		Renew       *RenewHost      `json:"renew,omitempty"`
	}

	// Result is the answer to a command. One field is set; none for Tick and Renew.
	Result struct {
		Contract *ContractResult `json:"contract,omitempty"`
		Mark     *MarkResult     `json:"mark,omitempty"`
		Member   *MemberResult   `json:"member,omitempty"`
		Claim    *ClaimResult    `json:"claim,omitempty"`
		Fence    *FenceResult    `json:"fence,omitempty"`
		// Unknown is set for a command that this version doesn't know or can't decode.
		Unknown bool `json:"unknown,omitempty"`
	}

	// Change is one change of the state that followers receive. Exactly one of
	// Contract, Mark, Member and Removed is set.
	Change struct {
		// Index is the log index of the command that made the change.
		Index    uint64
		Contract *Contract
		Mark     *Mark
		Member   *Member
		// Removed is the name of a removed member.
		Removed string
	}
)

// DecodeCommand decodes a command from its log entry.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return Command{}, eris.Wrap(err, "decode command")
	}
	return c, nil
}

// DecodeResult decodes a result that State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, eris.Wrap(err, "decode result")
	}
	return r, nil
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode command")
}
