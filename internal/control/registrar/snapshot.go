package registrar

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

type (
	// line is one line of a snapshot; exactly one field is set. A snapshot is a
	// sequence of JSON lines compressed with zstd, the header first and each kind
	// sorted, so that equal states give equal bytes.
	line struct {
		Header   *header       `json:"header,omitempty"`
		Contract *contractLine `json:"contract,omitempty"`
		Marks    []Mark        `json:"marks,omitempty"`
		Member   *memberRecord `json:"holding,omitempty"`
		Host     *hostLine     `json:"host,omitempty"`
		Claim    *claimRecord  `json:"claim,omitempty"`
		Fence    *fenceLine    `json:"fence,omitempty"`
		Load     *loadLine     `json:"load,omitempty"`
	}

	header struct {
		Index         uint64        `json:"index"`
		Elapsed       time.Duration `json:"elapsed"`
		Ticks         uint64        `json:"ticks"`
		Order         []string      `json:"order"`
		Announcements uint64        `json:"holds"`
		Ordinals      uint32        `json:"ordinals"`
	}

	contractLine struct {
		Contract Contract `json:"contract"`
		Records  []Record `json:"records"`
	}

	hostLine struct {
		Host    string        `json:"host"`
		Renewed time.Duration `json:"renewed"`
	}

	fenceLine struct {
		Server string `json:"server"`
		Fence  fence  `json:"fence"`
	}

	loadLine struct {
		Server string     `json:"server"`
		Permit loadPermit `json:"permit"`
	}
)

// Restore returns the state in a snapshot.
func Restore(data []byte) (*State, error) {
	r, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "restore state")
	}
	defer r.Close()
	s := NewState()
	var changes []Change
	dec := json.NewDecoder(r)
	for first := true; ; first = false {
		var l line
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) && !first {
			break
		}
		if err != nil {
			return nil, eris.Wrap(err, "restore state")
		}
		if first != (l.Header != nil) {
			return nil, eris.New("restore state: the header must be the first line and no other")
		}
		changes = append(changes, s.restoreLine(l)...)
	}
	s.view = View{}.WithChanges(s.index, changes...)
	return s, nil
}

// Snapshot returns the whole state, encoded for Restore. Equal states give equal
// bytes.
func (s *State) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	w, err := zstd.NewWriter(&b, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, eris.Wrap(err, "snapshot state")
	}
	if err := errors.Join(s.writeLines(w), w.Close()); err != nil {
		return nil, eris.Wrap(err, "snapshot state")
	}
	return b.Bytes(), nil
}

// restoreLine adds one line's content to the state and returns the changes of
// the view.
func (s *State) restoreLine(l line) []Change {
	switch {
	case l.Header != nil:
		s.index, s.elapsed, s.ticks = l.Header.Index, l.Header.Elapsed, l.Header.Ticks
		s.contracts.order = l.Header.Order
		s.members.announcements, s.members.ordinals = l.Header.Announcements, l.Header.Ordinals
	case l.Contract != nil:
		s.contracts.restore(*l.Contract)
		return []Change{{Contract: &l.Contract.Contract}}
	case len(l.Marks) > 0:
		s.marks.marks[l.Marks[0].Server] = l.Marks
		return []Change{{Mark: &l.Marks[len(l.Marks)-1]}}
	case l.Member != nil:
		s.members.records[l.Member.Member.Name] = *l.Member
		if !l.Member.Removed {
			return []Change{{Member: &l.Member.Member}}
		}
	case l.Host != nil:
		s.members.lastRenewal[l.Host.Host] = l.Host.Renewed
	case l.Claim != nil:
		s.claims.add(l.Claim)
	case l.Fence != nil:
		s.fences.fences[l.Fence.Server] = l.Fence.Fence
	case l.Load != nil:
		s.fences.loadPermits[l.Load.Server] = l.Load.Permit
	}
	return nil
}

func (s *State) writeLines(w io.Writer) error {
	enc := json.NewEncoder(w)
	err := enc.Encode(line{Header: &header{
		Index: s.index, Elapsed: s.elapsed, Ticks: s.ticks, Order: s.contracts.order,
		Announcements: s.members.announcements, Ordinals: s.members.ordinals,
	}})
	if err != nil {
		return err
	}
	if err := s.contracts.writeLines(w); err != nil {
		return err
	}
	for _, server := range slices.Sorted(maps.Keys(s.marks.marks)) {
		if err := enc.Encode(line{Marks: s.marks.marks[server]}); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.members.records)) {
		record := s.members.records[name]
		if err := enc.Encode(line{Member: &record}); err != nil {
			return err
		}
	}
	for _, host := range slices.Sorted(maps.Keys(s.members.lastRenewal)) {
		if err := enc.Encode(line{Host: &hostLine{host, s.members.lastRenewal[host]}}); err != nil {
			return err
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.claims.records), compareClaimIDs) {
		if err := enc.Encode(line{Claim: s.claims.records[id]}); err != nil {
			return err
		}
	}
	return s.writeFences(enc)
}

func (s *State) writeFences(enc *json.Encoder) error {
	for _, server := range slices.Sorted(maps.Keys(s.fences.fences)) {
		if err := enc.Encode(line{Fence: &fenceLine{server, s.fences.fences[server]}}); err != nil {
			return err
		}
	}
	for _, server := range slices.Sorted(maps.Keys(s.fences.loadPermits)) {
		if err := enc.Encode(line{Load: &loadLine{server, s.fences.loadPermits[server]}}); err != nil {
			return err
		}
	}
	return nil
}

// restore adds a contract with its history.
func (t *contractTable) restore(l contractLine) {
	workspace := l.Contract.Workspace
	t.contracts[workspace] = l.Contract
	t.records[workspace] = l.Records
	for _, k := range l.Contract.Keys {
		t.owners[k.SHA256] = workspace
	}
}

// writeLines writes one line for each contract. Lines are cached until their
// contract changes, so that a snapshot costs little more than its compression.
func (t *contractTable) writeLines(w io.Writer) error {
	for _, workspace := range slices.Sorted(maps.Keys(t.contracts)) {
		text, cached := t.cachedLines[workspace]
		if !cached {
			var err error
			text, err = json.Marshal(line{Contract: &contractLine{t.contracts[workspace], t.records[workspace]}})
			if err != nil {
				return err
			}
			text = append(text, '\n')
			t.cachedLines[workspace] = text
		}
		if _, err := w.Write(text); err != nil {
			return err
		}
	}
	return nil
}

func compareClaimIDs(a, b claimID) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
}
