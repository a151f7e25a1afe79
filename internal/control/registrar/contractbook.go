package registrar

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
)

type (
	// PutContract replaces a workspace's contract.
	PutContract struct {
		// Replaces is the number of the contract that this one replaces; 0 for the first.
		Replaces uint64   `json:"replaces"`
		Contract Contract `json:"contract"`
		// By names the operator, At is the operator's time in Unix nanoseconds.
		By string `json:"by"`
		At int64  `json:"at"`
	}

	// Outcome tells what became of a numbered change.
	Outcome string

	// ContractResult answers PutContract.
	ContractResult struct {
		Outcome Outcome `json:"outcome"`
		// Record is the accepted change, or in a conflict the change that won the
		// number. Its Number is 0 if it is too old to be known.
		Record Record `json:"record"`
		// Current is the newest number of the workspace's contract.
		Current uint64 `json:"current"`
		// Winner is the newest contract, set in a conflict.
		Winner *Contract `json:"winner,omitempty"`
		// Findings say what is wrong with an invalid contract.
		Findings []Finding `json:"findings,omitempty"`
	}

	// Record is one accepted change of a contract, as history shows it.
	Record struct {
		Number uint64 `json:"number"`
		// Index is the log index that made the change.
		Index uint64 `json:"index"`
		By    string `json:"by"`
		At    int64  `json:"at"`
		// What lists the changed fields, old and new value.
		What []string `json:"what,omitempty"`
		// Digest is the hash of the content, by which a resend is known again.
		Digest []byte `json:"digest"`
	}

	// contractBook holds the contracts and their history.
	contractBook struct {
		contracts map[string]Contract
		// records by workspace, in order of number without gaps; the last is the
		// current contract's.
		records map[string][]Record
		// order has one workspace for each record, oldest record first.
		order []string
		// owners has the workspace of each key hash.
		owners map[string]string
		// lines has the snapshot's lines of contracts that have not changed since.
		lines map[string][]byte
		// most bounds the records.
		most int
	}
)

// Outcomes of numbered changes.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRepeated means the same change was accepted before: the record is the first answer.
	OutcomeRepeated Outcome = "repeated"
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
)

// maxRecords bounds the records of all workspaces; the oldest go first, but a
// workspace's last one always stays. At 410 changes a day they reach 319 days back.
const maxRecords = 131072

// Digest returns the hash of the contract's content, without its number.
func (c Contract) Digest() []byte {
	c.Number = 0
	data, err := json.Marshal(c)
	if err != nil {
		// A contract of finite numbers always marshals; NaN can't be read from JSON.
		data = []byte(err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func (b *contractBook) init() {
	b.contracts = make(map[string]Contract)
	b.records = make(map[string][]Record)
	b.owners = make(map[string]string)
	b.lines = make(map[string][]byte)
	b.most = maxRecords
}

func (b *contractBook) current(workspace string) (Contract, bool) {
	c, ok := b.contracts[workspace]
	return c, ok
}

func (b *contractBook) put(index uint64, p PutContract) (ContractResult, []Change) {
	c := p.Contract
	old := b.contracts[c.Workspace]
	digest := c.Digest()
	if p.Replaces != old.Number {
		return b.answerOld(p, digest), nil
	}
	findings := c.Check()
	findings = append(findings, b.checkOwners(c)...)
	if len(findings) > 0 {
		return ContractResult{Outcome: OutcomeInvalid, Current: old.Number, Findings: findings}, nil
	}
	c.Number = old.Number + 1
	r := Record{Number: c.Number, Index: index, By: p.By, At: p.At, What: describe(old, c), Digest: digest}
	b.accept(c, r)
	return ContractResult{Outcome: OutcomeAccepted, Record: r, Current: c.Number}, []Change{{Contract: &c}}
}

// answerOld answers a change that replaces a number which isn't the current one.
func (b *contractBook) answerOld(p PutContract, digest []byte) ContractResult {
	current := b.contracts[p.Contract.Workspace]
	r, _ := b.record(p.Contract.Workspace, p.Replaces+1)
	if r.Number != 0 && bytes.Equal(r.Digest, digest) {
		return ContractResult{Outcome: OutcomeRepeated, Record: r, Current: current.Number}
	}
	result := ContractResult{Outcome: OutcomeConflict, Record: r, Current: current.Number}
	if current.Number != 0 {
		result.Winner = &current
	}
	return result
}

func (b *contractBook) accept(c Contract, r Record) {
	for _, k := range b.contracts[c.Workspace].Keys {
		delete(b.owners, k.SHA256)
	}
	for _, k := range c.Keys {
		b.owners[k.SHA256] = c.Workspace
	}
	b.contracts[c.Workspace] = c
	b.records[c.Workspace] = append(b.records[c.Workspace], r)
	delete(b.lines, c.Workspace)
	b.order = append(b.order, c.Workspace)
	b.trim()
}

// checkOwners finds keys that belong to another workspace.
func (b *contractBook) checkOwners(c Contract) []Finding {
	var findings []Finding
	for i, k := range c.Keys {
		owner, ok := b.owners[k.SHA256]
		if ok && owner != c.Workspace {
			findings = append(findings, found(place("keys", i, "sha256"), "another workspace has this key"))
		}
	}
	return findings
}

// record finds the record of a number.
func (b *contractBook) record(workspace string, number uint64) (Record, bool) {
	records := b.records[workspace]
	if len(records) == 0 || number < records[0].Number {
		return Record{}, false
	}
	i := number - records[0].Number
	if i >= uint64(len(records)) {
		return Record{}, false
	}
	return records[i], true
}

// trim drops the oldest records beyond the bound.
func (b *contractBook) trim() {
	for n := len(b.order); len(b.order) > b.most && n > 0; n-- {
		workspace := b.order[0]
		b.order = b.order[1:]
		if len(b.records[workspace]) == 1 {
			b.order = append(b.order, workspace)
			continue
		}
		b.records[workspace] = b.records[workspace][1:]
		delete(b.lines, workspace)
	}
}
