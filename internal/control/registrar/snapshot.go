package registrar

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

type (
	// image is a State in its stored form. All lists are sorted, so that equal
	// states give equal bytes.
	image struct {
		Index     uint64          `json:"index"`
		Elapsed   time.Duration   `json:"elapsed"`
		Ticks     uint64          `json:"ticks"`
		Contracts []contractImage `json:"contracts"`
		Order     []string        `json:"order"`
		Marks     []markImage     `json:"marks"`
		Holdings  []holding       `json:"holdings"`
		Hosts     []hostImage     `json:"hosts"`
		Holds     uint64          `json:"holds"`
		Ordinals  uint32          `json:"ordinals"`
		Claims    []claimRecord   `json:"claims"`
		Fences    []fenceImage    `json:"fences"`
		Loads     []loadImage     `json:"loads"`
	}

	contractImage struct {
		Contract Contract `json:"contract"`
		Records  []Record `json:"records"`
	}

	markImage struct {
		Server string `json:"server"`
		Marks  []Mark `json:"marks"`
	}

	hostImage struct {
		Host    string        `json:"host"`
		Renewed time.Duration `json:"renewed"`
	}

	fenceImage struct {
		Server string `json:"server"`
		Fence  fence  `json:"fence"`
	}

	loadImage struct {
		Server string     `json:"server"`
		Permit loadPermit `json:"permit"`
	}
)

// The codecs hold large buffers, so they are made once.
var (
	compressor   = sync.OnceValues(func() (*zstd.Encoder, error) { return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) })
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) { return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1)) })
)

// Restore returns the state that a snapshot holds.
func Restore(data []byte) (*State, error) {
	r, err := decompressor()
	if err != nil {
		return nil, eris.Wrap(err, "restore state")
	}
	plain, err := r.DecodeAll(data, nil)
	if err != nil {
		return nil, eris.Wrap(err, "restore state")
	}
	var img image
	if err := json.Unmarshal(plain, &img); err != nil {
		return nil, eris.Wrap(err, "restore state")
	}
	return img.state(), nil
}

// Snapshot returns the whole state in a form that Restore reads. Equal states
// give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	plain, err := json.Marshal(s.image())
	if err != nil {
		return nil, eris.Wrap(err, "snapshot state")
	}
	w, err := compressor()
	if err != nil {
		return nil, eris.Wrap(err, "snapshot state")
	}
	return w.EncodeAll(plain, nil), nil
}

func (s *State) image() image {
	img := image{
		Index: s.index, Elapsed: s.elapsed, Ticks: s.ticks, Order: s.contracts.order,
		Holds: s.members.holds, Ordinals: s.members.ordinals,
	}
	for workspace, c := range s.contracts.contracts {
		img.Contracts = append(img.Contracts, contractImage{c, s.contracts.records[workspace]})
	}
	for server, marks := range s.marks.marks {
		img.Marks = append(img.Marks, markImage{server, marks})
	}
	for _, h := range s.members.holdings {
		img.Holdings = append(img.Holdings, h)
	}
	for host, at := range s.members.renewed {
		img.Hosts = append(img.Hosts, hostImage{host, at})
	}
	for _, r := range s.claims.records {
		img.Claims = append(img.Claims, *r)
	}
	for server, f := range s.fences.fences {
		img.Fences = append(img.Fences, fenceImage{server, f})
	}
	for server, p := range s.fences.loads {
		img.Loads = append(img.Loads, loadImage{server, p})
	}
	img.sort()
	return img
}

func (img *image) sort() {
	slices.SortFunc(img.Contracts, func(a, b contractImage) int { return cmp.Compare(a.Contract.Workspace, b.Contract.Workspace) })
	slices.SortFunc(img.Marks, func(a, b markImage) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(img.Holdings, func(a, b holding) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	slices.SortFunc(img.Hosts, func(a, b hostImage) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(img.Claims, func(a, b claimRecord) int {
		return cmp.Or(cmp.Compare(a.Claim.Workspace, b.Claim.Workspace), cmp.Compare(a.Claim.Key, b.Claim.Key))
	})
	slices.SortFunc(img.Fences, func(a, b fenceImage) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(img.Loads, func(a, b loadImage) int { return cmp.Compare(a.Server, b.Server) })
}

func (img *image) state() *State {
	s := NewState()
	s.index, s.elapsed, s.ticks = img.Index, img.Elapsed, img.Ticks
	s.contracts.order = img.Order
	s.members.holds, s.members.ordinals = img.Holds, img.Ordinals
	var changes []Change
	for _, c := range img.Contracts {
		s.contracts.contracts[c.Contract.Workspace] = c.Contract
		s.contracts.records[c.Contract.Workspace] = c.Records
		for _, k := range c.Contract.Keys {
			s.contracts.owners[k.SHA256] = c.Contract.Workspace
		}
		changes = append(changes, Change{Contract: &c.Contract})
	}
	for _, m := range img.Marks {
		s.marks.marks[m.Server] = m.Marks
		current := s.marks.current(m.Server)
		changes = append(changes, Change{Mark: &current})
	}
	for _, h := range img.Holdings {
		s.members.holdings[h.Member.Name] = h
		if !h.Gone {
			changes = append(changes, Change{Member: &h.Member})
		}
	}
	for _, h := range img.Hosts {
		s.members.renewed[h.Host] = h.Renewed
	}
	for i := range img.Claims {
		s.claims.add(&img.Claims[i])
	}
	heap.Init(&s.claims.expiries)
	for _, f := range img.Fences {
		s.fences.fences[f.Server] = f.Fence
	}
	for _, l := range img.Loads {
		s.fences.loads[l.Server] = l.Permit
	}
	s.view = View{}.WithChanges(img.Index, changes...)
	return s
}
