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
	// compressed text of such lines in JSON, the header first and each kind
	// sorted, so that equal states give equal bytes.
	line struct {
		Header   *header       `json:"header,omitempty"`
		Contract *contractLine `json:"contract,omitempty"`
		Marks    []Mark        `json:"marks,omitempty"`
		Holding  *holding      `json:"holding,omitempty"`
		Host     *hostLine     `json:"host,omitempty"`
		Claim    *claimRecord  `json:"claim,omitempty"`
		Fence    *fenceLine    `json:"fence,omitempty"`
		Load     *loadLine     `json:"load,omitempty"`
	}

	header struct {
		Index    uint64        `json:"index"`
		Elapsed  time.Duration `json:"elapsed"`
		Ticks    uint64        `json:"ticks"`
		Order    []string      `json:"order"`
		Holds    uint64        `json:"holds"`
		Ordinals uint32        `json:"ordinals"`
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

// Restore returns the state that a snapshot holds.
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
		changes = append(changes, s.take(l)...)
	}
	s.view = View{}.WithChanges(s.index, changes...)
	return s, nil
}

// Snapshot returns the whole state in a form that Restore reads. Equal states
// give equal bytes.
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

// take puts one line's content in and returns what a view has to learn of it.
func (s *State) take(l line) []Change {
	switch {
	case l.Header != nil:
		s.index, s.elapsed, s.ticks = l.Header.Index, l.Header.Elapsed, l.Header.Ticks
		s.contracts.order = l.Header.Order
		s.members.holds, s.members.ordinals = l.Header.Holds, l.Header.Ordinals
	case l.Contract != nil:
		s.contracts.restore(*l.Contract)
		return []Change{{Contract: &l.Contract.Contract}}
	case len(l.Marks) > 0:
		s.marks.marks[l.Marks[0].Server] = l.Marks
		return []Change{{Mark: &l.Marks[len(l.Marks)-1]}}
	case l.Holding != nil:
		s.members.holdings[l.Holding.Member.Name] = *l.Holding
		if !l.Holding.Gone {
			return []Change{{Member: &l.Holding.Member}}
		}
	case l.Host != nil:
		s.members.renewed[l.Host.Host] = l.Host.Renewed
	case l.Claim != nil:
		s.claims.add(l.Claim)
	case l.Fence != nil:
		s.fences.fences[l.Fence.Server] = l.Fence.Fence
	case l.Load != nil:
		s.fences.loads[l.Load.Server] = l.Load.Permit
	}
	return nil
}

func (s *State) writeLines(w io.Writer) error {
	enc := json.NewEncoder(w)
	err := enc.Encode(line{Header: &header{
		Index: s.index, Elapsed: s.elapsed, Ticks: s.ticks, Order: s.contracts.order,
		Holds: s.members.holds, Ordinals: s.members.ordinals,
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
	for _, name := range slices.Sorted(maps.Keys(s.members.holdings)) {
		h := s.members.holdings[name]
		if err := enc.Encode(line{Holding: &h}); err != nil {
			return err
		}
	}
	for _, host := range slices.Sorted(maps.Keys(s.members.renewed)) {
		if err := enc.Encode(line{Host: &hostLine{host, s.members.renewed[host]}}); err != nil {
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
	for _, server := range slices.Sorted(maps.Keys(s.fences.loads)) {
		if err := enc.Encode(line{Load: &loadLine{server, s.fences.loads[server]}}); err != nil {
			return err
		}
	}
	return nil
}

// restore puts a contract with its history in.
func (b *contractBook) restore(l contractLine) {
	workspace := l.Contract.Workspace
	b.contracts[workspace] = l.Contract
	b.records[workspace] = l.Records
	for _, k := range l.Contract.Keys {
		b.owners[k.SHA256] = workspace
	}
}

// writeLines writes one line for each contract. A line is kept until its
// contract changes, so that a snapshot costs little more than its compression.
func (b *contractBook) writeLines(w io.Writer) error {
	for _, workspace := range slices.Sorted(maps.Keys(b.contracts)) {
		text, kept := b.lines[workspace]
		if !kept {
			var err error
			text, err = json.Marshal(line{Contract: &contractLine{b.contracts[workspace], b.records[workspace]}})
			if err != nil {
				return err
			}
			text = append(text, '\n')
			b.lines[workspace] = text
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
