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

	// Outcome is the result of a change of a contract or mark. A change names the
	// number that it replaces, and gets the next one.
	Outcome string

	// ContractResult answers PutContract.
	ContractResult struct {
		Outcome Outcome `json:"outcome"`
		// Record is the accepted change, or in a conflict the change that was accepted
		// under the number after Replaces. Its Number is 0 if no record of that is kept.
		Record Record `json:"record"`
		// Current is the newest number of the workspace's contract.
		Current uint64 `json:"current"`
		// Winner is the newest contract, set in a conflict; nil if there is none.
		Winner *Contract `json:"winner,omitempty"`
		// Findings are the faults of an invalid contract.
		Findings []Finding `json:"findings,omitempty"`
	}

	// Record is one accepted change of a contract, kept in its history.
	Record struct {
		Number uint64 `json:"number"`
		// Index is the log index of the command that made the change.
		Index uint64 `json:"index"`
		// By and At are those of the PutContract.
		By string `json:"by"`
		At int64  `json:"at"`
		// Changes lists the changed fields with their old and new values.
		Changes []string `json:"what,omitempty"`
		// Digest is the hash of the content, by which a resend is recognized.
		Digest []byte `json:"digest"`
	}

	// contractTable holds the contracts and their history.
	contractTable struct {
		contracts map[string]Contract
		// records are the kept changes by workspace, in order of number without
		// gaps; the last is the current contract's.
		records map[string][]Record
		// order has one workspace for each record, oldest record first, except that
		// trim moves a workspace with a single record to the end.
		order []string
		// owners maps each key hash to its workspace.
		owners map[string]string
		// cachedLines holds the snapshot lines, by workspace, of contracts that have
		// not changed since a snapshot wrote them.
		cachedLines map[string][]byte
		// recordLimit is maxRecords, or less in tests.
		recordLimit int
	}
)

// Outcomes of numbered changes.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRepeated means that the same change was accepted before: the record
	// is that of the first answer.
	OutcomeRepeated Outcome = "repeated"
	// OutcomeConflict means that the number to replace is not the newest one.
	OutcomeConflict Outcome = "conflict"
	OutcomeInvalid  Outcome = "invalid"
)

// maxRecords bounds the records of all workspaces; the oldest are dropped first,
// but each workspace's last one is kept. At 410 changes a day they cover 319 days.
const maxRecords = 131072

// Digest returns the hash of the contract's content, without its number.
func (c Contract) Digest() []byte {
	c.Number = 0
	data, err := json.Marshal(c)
	if err != nil {
		// Only NaN and infinity can't be marshaled, and a contract read from JSON
		// has neither.
		data = []byte(err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func (t *contractTable) init() {
	t.contracts = make(map[string]Contract)
	t.records = make(map[string][]Record)
	t.owners = make(map[string]string)
	t.cachedLines = make(map[string][]byte)
	t.recordLimit = maxRecords
}

func (t *contractTable) current(workspace string) (Contract, bool) {
	c, ok := t.contracts[workspace]
	return c, ok
}

// put accepts a contract if it replaces the newest one and has no findings.
func (t *contractTable) put(index uint64, p PutContract) (ContractResult, []Change) {
	c := p.Contract
	old := t.contracts[c.Workspace]
	digest := c.Digest()
	if p.Replaces != old.Number {
		return t.answerStale(p, digest), nil
	}
	findings := c.Check()
	findings = append(findings, t.checkKeyOwners(c)...)
	if len(findings) > 0 {
		return ContractResult{Outcome: OutcomeInvalid, Current: old.Number, Findings: findings}, nil
	}
	c.Number = old.Number + 1
	r := Record{Number: c.Number, Index: index, By: p.By, At: p.At, Changes: describeChanges(old, c), Digest: digest}
	t.accept(c, r)
	return ContractResult{Outcome: OutcomeAccepted, Record: r, Current: c.Number}, []Change{{Contract: &c}}
}

// answerStale returns the result of a change whose Replaces isn't the current number.
func (t *contractTable) answerStale(p PutContract, digest []byte) ContractResult {
	current := t.contracts[p.Contract.Workspace]
	r, _ := t.record(p.Contract.Workspace, p.Replaces+1)
	if r.Number != 0 && bytes.Equal(r.Digest, digest) {
		return ContractResult{Outcome: OutcomeRepeated, Record: r, Current: current.Number}
	}
	result := ContractResult{Outcome: OutcomeConflict, Record: r, Current: current.Number}
	if current.Number != 0 {
		result.Winner = &current
	}
	return result
}

// accept replaces a workspace's contract and its keys, and adds the record.
func (t *contractTable) accept(c Contract, r Record) {
	for _, k := range t.contracts[c.Workspace].Keys {
		delete(t.owners, k.SHA256)
	}
	for _, k := range c.Keys {
		t.owners[k.SHA256] = c.Workspace
	}
	t.contracts[c.Workspace] = c
	t.records[c.Workspace] = append(t.records[c.Workspace], r)
	delete(t.cachedLines, c.Workspace)
	t.order = append(t.order, c.Workspace)
	t.trim()
}

// checkKeyOwners returns a finding for each key that belongs to another workspace.
func (t *contractTable) checkKeyOwners(c Contract) []Finding {
	var findings []Finding
	for i, k := range c.Keys {
		owner, ok := t.owners[k.SHA256]
		if ok && owner != c.Workspace {
			findings = append(findings, newFinding(place("keys", i, "sha256"), "another workspace has this key"))
		}
	}
	return findings
}

// record returns the record of a number, if it is kept.
func (t *contractTable) record(workspace string, number uint64) (Record, bool) {
	records := t.records[workspace]
	if len(records) == 0 || number < records[0].Number {
		return Record{}, false
	}
	i := number - records[0].Number
	if i >= uint64(len(records)) {
		return Record{}, false
	}
	return records[i], true
}

// trim drops the oldest records above recordLimit, but keeps the last one of each
// workspace. It looks at each record at most once, so it ends also if all must stay.
func (t *contractTable) trim() {
	for n := len(t.order); len(t.order) > t.recordLimit && n > 0; n-- {
		workspace := t.order[0]
		t.order = t.order[1:]
		if len(t.records[workspace]) == 1 {
			t.order = append(t.order, workspace)
			continue
		}
		t.records[workspace] = t.records[workspace][1:]
		delete(t.cachedLines, workspace)
	}
}
