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
		// Epoch counts the claims under one key from 1 on. A next one is made
		// only after the former is proved not run.
		Epoch uint32 `json:"epoch"`
		// Index is the log index of the claim.
		Index uint64 `json:"index"`
	}

	// MakeClaim asks for a claim.
	MakeClaim struct {
		Claim Claim `json:"claim"`
		// Claimant is unique for each attempt: a resend gets the same answer.
		Claimant string `json:"claimant"`
		// AfterEpoch is the epoch of the refused claim that this one replaces.
		AfterEpoch uint32 `json:"afterEpoch,omitempty"`
	}

	// EndClaim records a claimed call's answer.
	EndClaim struct {
		Claim Claim `json:"claim"`
		// Reply is the encoded answer, at most MaxOutcomeBytes.
		Reply []byte `json:"reply"`
		// BodyDropped tells that the answer's body was too large to keep.
		BodyDropped bool `json:"bodyDropped,omitempty"`
	}

	// RefuseClaim records that an agent proved a claim not run, for good.
	RefuseClaim struct {
		Claim Claim `json:"claim"`
	}

	// ClaimStatus tells how a claim stands.
	ClaimStatus string

	// ClaimResult answers MakeClaim, EndClaim and RefuseClaim.
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

	// claimRecord is all that is kept of one call.
	claimRecord struct {
		Claim       Claim       `json:"claim"`
		Claimant    string      `json:"claimant"`
		Status      ClaimStatus `json:"status"`
		Reply       []byte      `json:"reply,omitempty"`
		BodyDropped bool        `json:"bodyDropped,omitempty"`
		// Expires is the state's elapsed time after which the record may go.
		Expires time.Duration `json:"expires"`
	}

	// claimBook holds the claims within their retention.
	claimBook struct {
		records map[claimID]*claimRecord
		// expiries is a heap by expiry with one item for each record; an item may
		// be older than its record, which is then put back.
		expiries expiryHeap
		// bytes is the memory that the records take, about.
		bytes int
		// each counts the records of each workspace.
		each map[string]int
	}

	expiry struct {
		at time.Duration
		id claimID
	}

	expiryHeap []expiry
)

// Statuses of claims.
const (
	// ClaimGranted lets the claimant dispatch the call.
	ClaimGranted ClaimStatus = "granted"
	// ClaimPending means that another claimant holds the claim.
	ClaimPending ClaimStatus = "pending"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimStatus = "done"
	// ClaimRefused means that the newest claim is proved not run.
	ClaimRefused ClaimStatus = "refused"
	// ClaimConflict means that the key was used with another digest.
	ClaimConflict ClaimStatus = "conflict"
	// ClaimFull means that no further claim can be kept now.
	ClaimFull ClaimStatus = "full"
	// ClaimUnknown means that no such claim is kept.
	ClaimUnknown ClaimStatus = "unknown"
)

const (
	// DefaultRetention is how long claims are kept where the contract doesn't say.
	DefaultRetention = 24 * time.Hour
	// MaxOutcomeBytes bounds a recorded outcome.
	MaxOutcomeBytes = 64 << 10
	// MaxClaimKeyBytes bounds a claim's key.
	MaxClaimKeyBytes = 256
	// maxClaims bounds the records of all workspaces together, and
	// maxClaimsEach those of one workspace, so that one can't shut out the others.
	maxClaims     = 1 << 20
	maxClaimsEach = 1 << 17
	// maxClaimBytes bounds the records' memory.
	maxClaimBytes = 512 << 20
	// claimOverhead is the memory of a record besides its texts, in bytes.
	claimOverhead = 400
)

func (b *claimBook) init() {
	b.records = make(map[claimID]*claimRecord)
	b.each = make(map[string]int)
}

func (b *claimBook) claim(index uint64, elapsed, retention time.Duration, m MakeClaim) ClaimResult {
	id := claimID{m.Claim.Workspace, m.Claim.Key}
	r, known := b.records[id]
	if !known {
		return b.first(index, elapsed+retention, m)
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

func (b *claimBook) first(index uint64, expires time.Duration, m MakeClaim) ClaimResult {
	c := m.Claim
	if m.AfterEpoch != 0 {
		return ClaimResult{Status: ClaimUnknown, Claim: c}
	}
	full := len(b.records) >= maxClaims || b.each[c.Workspace] >= maxClaimsEach || b.bytes >= maxClaimBytes
	if full || len(c.Key) > MaxClaimKeyBytes {
		return ClaimResult{Status: ClaimFull, Claim: c}
	}
	c.Epoch, c.Index = 1, index
	r := &claimRecord{Claim: c, Claimant: m.Claimant, Status: ClaimPending, Expires: expires}
	b.add(r)
	return ClaimResult{Status: ClaimGranted, Claim: c}
}

func (b *claimBook) add(r *claimRecord) {
	id := claimID{r.Claim.Workspace, r.Claim.Key}
	b.records[id] = r
	b.each[id.Workspace]++
	b.bytes += r.size()
	heap.Push(&b.expiries, expiry{r.Expires, id})
}

// end records an outcome. Only the newest claim's outcome counts, and only once.
func (b *claimBook) end(elapsed, retention time.Duration, e EndClaim) ClaimResult {
	r, ok := b.find(e.Claim)
	if !ok {
		return ClaimResult{Status: ClaimUnknown, Claim: e.Claim}
	}
	if r.Status != ClaimPending {
		return r.result()
	}
	if len(e.Reply) > MaxOutcomeBytes {
		e.Reply, e.BodyDropped = nil, true
	}
	b.bytes -= r.size()
	r.Status, r.Reply, r.BodyDropped = ClaimDone, e.Reply, e.BodyDropped
	r.Expires = max(r.Expires, elapsed+retention)
	b.bytes += r.size()
	return r.result()
}

func (b *claimBook) refuse(f RefuseClaim) ClaimResult {
	r, ok := b.find(f.Claim)
	if !ok {
		return ClaimResult{Status: ClaimUnknown, Claim: f.Claim}
	}
	if r.Status == ClaimPending {
		r.Status = ClaimRefused
	}
	return r.result()
}

// find returns the record of exactly that claim, if it is the newest of its key.
func (b *claimBook) find(c Claim) (*claimRecord, bool) {
	r, ok := b.records[claimID{c.Workspace, c.Key}]
	if !ok || r.Claim.Epoch != c.Epoch || r.Claim.Server != c.Server || r.Claim.Incarnation != c.Incarnation {
		return nil, false
	}
	return r, true
}

// expire drops the records whose retention is over.
func (b *claimBook) expire(elapsed time.Duration) {
	for len(b.expiries) > 0 && b.expiries[0].at <= elapsed {
		item := b.expiries[0]
		r := b.records[item.id]
		if r.Expires > elapsed {
			b.expiries[0].at = r.Expires
			heap.Fix(&b.expiries, 0)
			continue
		}
		heap.Pop(&b.expiries)
		delete(b.records, item.id)
		b.bytes -= r.size()
		b.each[item.id.Workspace]--
		if b.each[item.id.Workspace] == 0 {
			delete(b.each, item.id.Workspace)
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

// Len is the number of items.
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
