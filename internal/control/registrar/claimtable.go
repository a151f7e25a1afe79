package registrar

import (
	"bytes"
	"container/heap"
	"time"
)

type (
	// Claim is the right to run one non-repeatable call once, at one incarnation
	// of one backend server.
	Claim struct {
		Workspace string `json:"workspace"`
		Key       string `json:"key"`
		// Digest is the hash of the request.
		Digest      []byte `json:"digest"`
		Server      string `json:"server"`
		Incarnation uint64 `json:"incarnation"`
		// Epoch counts the claims under one key from 1 on. The next one is granted
		// only once the previous one is proved not run.
		Epoch uint32 `json:"epoch"`
		// Index is the log index of the claim.
		Index uint64 `json:"index"`
	}

	// MakeClaim requests a claim.
	MakeClaim struct {
		Claim Claim `json:"claim"`
		// Claimant is unique for each attempt: a resend gets the same answer.
		Claimant string `json:"claimant"`
		// AfterEpoch is the epoch of the refused claim that this one replaces.
		AfterEpoch uint32 `json:"afterEpoch,omitempty"`
	}

	// RecordOutcome records a claimed call's answer.
	RecordOutcome struct {
		Claim Claim `json:"claim"`
		// Reply is the encoded answer, at most MaxOutcomeBytes.
		Reply []byte `json:"reply"`
		// BodyDropped is set if the answer's body was too large to keep.
		BodyDropped bool `json:"bodyDropped,omitempty"`
	}

	// RefuseClaim records an agent's proof that a claim has not run and never will.
	RefuseClaim struct {
		Claim Claim `json:"claim"`
	}

	// ClaimStatus is the state of a claim.
	ClaimStatus string

	// ClaimResult answers MakeClaim, RecordOutcome and RefuseClaim.
	ClaimResult struct {
		Status ClaimStatus `json:"status"`
		// Claim is the newest one under the key.
		Claim       Claim  `json:"claim"`
		Reply       []byte `json:"reply,omitempty"`
		BodyDropped bool   `json:"bodyDropped,omitempty"`
	}

	// claimID identifies a call: the caller's key within its workspace.
	claimID struct {
		Workspace string `json:"workspace"`
		Key       string `json:"key"`
	}

	// claimRecord holds the newest claim of one call and its outcome.
	claimRecord struct {
		Claim    Claim  `json:"claim"`
		Claimant string `json:"claimant"`
		// Status is ClaimPending, ClaimDone or ClaimRefused.
		Status      ClaimStatus `json:"status"`
		Reply       []byte      `json:"reply,omitempty"`
		BodyDropped bool        `json:"bodyDropped,omitempty"`
		// Expires is the state's elapsed time from which the record may be dropped.
		Expires time.Duration `json:"expires"`
	}

	// claimTable holds the claims whose retention has not passed.
	claimTable struct {
		records map[claimID]*claimRecord
		// expiries is a heap by expiry with one item for each record. An item may be
		// earlier than its record's Expires; expire then moves it to that time.
		expiries expiryHeap
		// bytes is the approximate memory of the records.
		bytes int
		// perWorkspace counts the records of each workspace.
		perWorkspace map[string]int
	}

	expiry struct {
		at time.Duration
		id claimID
	}

	expiryHeap []expiry
)

// Statuses of claims.
const (
	// ClaimGranted means that the claimant may dispatch the call.
	ClaimGranted ClaimStatus = "granted"
	// ClaimPending means that another claimant holds the claim.
	ClaimPending ClaimStatus = "pending"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimStatus = "done"
	// ClaimRefused means that the newest claim is proved not run.
	ClaimRefused ClaimStatus = "refused"
	// ClaimConflict means that the key was used with another digest.
	ClaimConflict ClaimStatus = "conflict"
	// ClaimFull means that no further claim can be kept now, or that the key is longer
	// than MaxClaimKeyBytes.
	ClaimFull ClaimStatus = "full"
	// ClaimUnknown means that no such claim is kept.
	ClaimUnknown ClaimStatus = "unknown"
)

const (
	// DefaultRetention is how long claims are kept if the contract sets no retention.
	DefaultRetention = 24 * time.Hour
	// MaxOutcomeBytes bounds a recorded outcome; a larger one is recorded without the
	// reply and with BodyDropped.
	MaxOutcomeBytes = 64 << 10
	// MaxClaimKeyBytes bounds a claim's key.
	MaxClaimKeyBytes = 256
	// maxClaims bounds the records of all workspaces together, and
	// maxClaimsPerWorkspace those of one, so that no workspace can fill the table
	// for the others.
	maxClaims             = 1 << 20
	maxClaimsPerWorkspace = 1 << 17
	// maxClaimBytes bounds the records' memory.
	maxClaimBytes = 512 << 20
	// claimOverhead is the approximate memory of a record besides its strings and
	// byte slices, in bytes.
	claimOverhead = 400
)

func (t *claimTable) init() {
	t.records = make(map[claimID]*claimRecord)
	t.perWorkspace = make(map[string]int)
}

// claim grants the first claim under a key, the next one after a refusal of AfterEpoch,
// and the pending one again to its claimant. Otherwise it returns the claim's status.
func (t *claimTable) claim(index uint64, elapsed, retention time.Duration, m MakeClaim) ClaimResult {
	id := claimID{m.Claim.Workspace, m.Claim.Key}
	r, known := t.records[id]
	if !known {
		return t.claimFirst(index, elapsed+retention, m)
	}
	if !bytes.Equal(r.Claim.Digest, m.Claim.Digest) {
		return ClaimResult{Status: ClaimConflict, Claim: r.Claim}
	}
	if r.Status == ClaimPending && r.Claimant == m.Claimant {
		return ClaimResult{Status: ClaimGranted, Claim: r.Claim}
	}
	if r.Status != ClaimRefused || m.AfterEpoch != r.Claim.Epoch {
		return r.result()
	}
	epoch := r.Claim.Epoch + 1
	r.Claim, r.Claimant, r.Status = m.Claim, m.Claimant, ClaimPending
	r.Claim.Epoch, r.Claim.Index = epoch, index
	r.Expires = max(r.Expires, elapsed+retention)
	return ClaimResult{Status: ClaimGranted, Claim: r.Claim}
}

func (t *claimTable) claimFirst(index uint64, expires time.Duration, m MakeClaim) ClaimResult {
	c := m.Claim
	if m.AfterEpoch != 0 {
		return ClaimResult{Status: ClaimUnknown, Claim: c}
	}
	full := len(t.records) >= maxClaims || t.perWorkspace[c.Workspace] >= maxClaimsPerWorkspace || t.bytes >= maxClaimBytes
	if full || len(c.Key) > MaxClaimKeyBytes {
		return ClaimResult{Status: ClaimFull, Claim: c}
	}
	c.Epoch, c.Index = 1, index
	r := &claimRecord{Claim: c, Claimant: m.Claimant, Status: ClaimPending, Expires: expires}
	t.add(r)
	return ClaimResult{Status: ClaimGranted, Claim: c}
}

func (t *claimTable) add(r *claimRecord) {
	id := claimID{r.Claim.Workspace, r.Claim.Key}
	t.records[id] = r
	t.perWorkspace[id.Workspace]++
	t.bytes += r.size()
	heap.Push(&t.expiries, expiry{r.Expires, id})
}

// recordOutcome records an outcome. Only the newest claim's outcome counts, and only once.
func (t *claimTable) recordOutcome(elapsed, retention time.Duration, o RecordOutcome) ClaimResult {
	r, ok := t.find(o.Claim)
	if !ok {
		return ClaimResult{Status: ClaimUnknown, Claim: o.Claim}
	}
	if r.Status != ClaimPending {
		return r.result()
	}
	if len(o.Reply) > MaxOutcomeBytes {
		o.Reply, o.BodyDropped = nil, true
	}
	t.bytes -= r.size()
	r.Status, r.Reply, r.BodyDropped = ClaimDone, o.Reply, o.BodyDropped
	r.Expires = max(r.Expires, elapsed+retention)
	t.bytes += r.size()
	return r.result()
}

// refuse records that a pending claim has not run. An outcome recorded before stays.
func (t *claimTable) refuse(f RefuseClaim) ClaimResult {
	r, ok := t.find(f.Claim)
	if !ok {
		return ClaimResult{Status: ClaimUnknown, Claim: f.Claim}
	}
	if r.Status == ClaimPending {
		r.Status = ClaimRefused
	}
	return r.result()
}

// find returns the record of exactly that claim, if it is the newest of its key.
func (t *claimTable) find(c Claim) (*claimRecord, bool) {
	r, ok := t.records[claimID{c.Workspace, c.Key}]
	if !ok || r.Claim.Epoch != c.Epoch || r.Claim.Server != c.Server || r.Claim.Incarnation != c.Incarnation {
		return nil, false
	}
	return r, true
}

// expire drops the records whose retention has passed.
func (t *claimTable) expire(elapsed time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].at <= elapsed {
		item := t.expiries[0]
		r := t.records[item.id]
		if r.Expires > elapsed {
			t.expiries[0].at = r.Expires
			heap.Fix(&t.expiries, 0)
			continue
		}
		heap.Pop(&t.expiries)
		delete(t.records, item.id)
		t.bytes -= r.size()
		t.perWorkspace[item.id.Workspace]--
		if t.perWorkspace[item.id.Workspace] == 0 {
			delete(t.perWorkspace, item.id.Workspace)
		}
	}
}

func (r *claimRecord) result() ClaimResult {
	return ClaimResult{Status: r.Status, Claim: r.Claim, Reply: r.Reply, BodyDropped: r.BodyDropped}
}

func (r *claimRecord) size() int {
	c := r.Claim
	return claimOverhead + len(c.Workspace) + 2*len(c.Key) + len(c.Digest) + len(c.Server) + len(r.Claimant) + len(r.Reply)
}

// Len returns the number of items.
func (h expiryHeap) Len() int { return len(h) }

// Less orders items by expiry.
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Pop removes the last item.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Push adds an item, which must be an expiry.
func (h *expiryHeap) Push(x any) {
	if e, ok := x.(expiry); ok {
		*h = append(*h, e)
	}
}

// Swap exchanges two items.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
