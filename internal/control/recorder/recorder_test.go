package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"verbenareach/internal/wire/messenger"
)

const testFolder = "/data"

func openRecorder(t *testing.T, d *fakeDisk) *Recorder {
	t.Helper()
	r := &Recorder{Folder: testFolder, Files: d.fileLayer(), SegmentBytes: 600}
	if err := r.Open(); err != nil {
		t.Fatal(err)
	}
	return r
}

func entry(index, term uint64) *messenger.LogEntry {
	return &messenger.LogEntry{Index: index, Term: term, Data: []byte(fmt.Sprintf("command %d of term %d", index, term))}
}

// appendEntries appends entries of a term and syncs each.
func appendEntries(r *Recorder, term, from, to uint64) error {
	for i := from; i <= to; i++ {
		seq, err := r.Append(entry(i, term))
		if err != nil {
			return err
		}
		if err := r.Sync(seq); err != nil {
			return err
		}
	}
	return nil
}

func checkEntries(t *testing.T, r *Recorder, from, to uint64) {
	t.Helper()
	got, ok := r.Entries(from, 1<<30)
	if !ok || uint64(len(got)) != to-from+1 {
		t.Fatalf("entries from %d: %d (%v), want up to %d", from, len(got), ok, to)
	}
	for i, e := range got {
		if e.Index != from+uint64(i) || !bytes.Equal(e.Data, entry(e.Index, e.Term).Data) {
			t.Fatalf("entry %d is %v", from+uint64(i), e)
		}
	}
}

func TestReopenKeepsEverything(t *testing.T) {
	d := newFakeDisk()
	r := openRecorder(t, d)
	id := r.ID()
	if err := appendEntries(r, 1, 1, 40); err != nil {
		t.Fatal(err)
	}
	if _, err := r.SetState(&messenger.LogState{Term: 3, Vote: "b"}); err != nil {
		t.Fatal(err)
	}
	if err := appendEntries(r, 3, 31, 35); err != nil {
		t.Fatal(err)
	}
	r.SetCommit(33)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	d.crash(rand.New(rand.NewSource(1)))
	r = openRecorder(t, d)
	checkEntries(t, r, 1, 35)
	if term, vote := r.State(); term != 3 || vote != "b" || r.ID() != id {
		t.Errorf("term %d, vote %q, id %s, want 3, b, %s", term, vote, r.ID(), id)
	}
	if term, ok := r.Term(31); !ok || term != 3 {
		t.Errorf("entry 31 has term %d (%v)", term, ok)
	}
}

func TestOneProcessHoldsAFolder(t *testing.T) {
	folder := t.TempDir()
	first := &Recorder{Folder: folder, Files: Disk()}
	if err := first.Open(); err != nil {
		t.Fatal(err)
	}
	second := &Recorder{Folder: folder, Files: Disk()}
	if err := second.Open(); !errors.Is(err, ErrLocked) {
		t.Fatalf("second Open returned %v", err)
	}
	if err := appendEntries(first, 1, 1, 3); err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if err := second.Open(); err != nil {
		t.Fatal(err)
	}
	checkEntries(t, second, 1, 3)
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestKillAtEveryStep kills the process before each operation of the file layer in turn and
// checks that all acknowledged records survive. The operations include a snapshot, a reset
// of the log and an overwritten tail.
func TestKillAtEveryStep(t *testing.T) {
	for step := 0; ; step++ {
		d := newFakeDisk()
		d.stepsLeft = step
		rnd := rand.New(rand.NewSource(int64(step)))
		acked, termAcked, done := runScript(d)
		d.crash(rnd)
		r := &Recorder{Folder: testFolder, Files: d.fileLayer(), SegmentBytes: 600}
		if err := r.Open(); err != nil {
			t.Fatalf("step %d: open after the kill: %v", step, err)
		}
		last, _ := r.Last()
		for i := r.FirstIndex(); i <= last; i++ {
			if _, ok := r.Term(i); !ok {
				t.Fatalf("step %d: entry %d is missing", step, i)
			}
		}
		if last < acked {
			t.Fatalf("step %d: last entry is %d, acknowledged was %d", step, last, acked)
		}
		if term, _ := r.State(); term < termAcked {
			t.Fatalf("step %d: term fell from %d to %d", step, termAcked, term)
		}
		if err := appendEntries(r, 9, last+1, last+3); err != nil {
			t.Fatalf("step %d: append after the kill: %v", step, err)
		}
		if done {
			t.Logf("%d steps", step)
			return
		}
	}
}

// runScript runs the operations of a host until the process is killed, and returns the last
// acknowledged index and term. done is set if all operations succeeded.
func runScript(d *fakeDisk) (acked, term uint64, done bool) {
	r := &Recorder{Folder: testFolder, Files: d.fileLayer(), SegmentBytes: 600}
	if r.Open() != nil {
		return 0, 0, false
	}
	syncAcked := func(upTo uint64, seq uint64, err error) bool {
		if err != nil || r.Sync(seq) != nil {
			return false
		}
		acked = max(acked, upTo)
		return true
	}
	for i := uint64(1); i <= 20; i++ {
		seq, err := r.Append(entry(i, 1))
		if !syncAcked(i, seq, err) {
			return acked, term, false
		}
	}
	seq, err := r.SetState(&messenger.LogState{Term: 2, Vote: "a"})
	if !syncAcked(0, seq, err) {
		return acked, term, false
	}
	term = 2
	if r.SaveSnapshot(&messenger.LogSnapshot{Index: 18, Term: 1}, 15) != nil {
		return acked, term, false
	}
	seq, err = r.Append(entry(20, 2), entry(21, 2))
	if !syncAcked(21, seq, err) {
		return acked, term, false
	}
	snap := &messenger.LogSnapshot{Index: 90, Term: 2}
	if r.WriteSnapshot(snap) != nil {
		return acked, term, false
	}
	acked = 90
	seq, err = r.InstallSnapshot(snap)
	if !syncAcked(90, seq, err) {
		return acked, term, false
	}
	for i := uint64(91); i <= 110; i++ {
		seq, err := r.Append(entry(i, 2))
		if !syncAcked(i, seq, err) {
			return acked, term, false
		}
	}
	return acked, term, r.Close() == nil
}

func TestDamageIsNotTornTail(t *testing.T) {
	damage := func(match string, at func(size int) int) func(*fakeDisk) {
		return func(d *fakeDisk) {
			for name, f := range d.files {
				if strings.HasSuffix(name, match) {
					f.data[at(len(f.data))] ^= 1
				}
			}
		}
	}
	first := segmentPath(testFolder, 1)[len(testFolder):]
	last := segmentPath(testFolder, 4)[len(testFolder):]
	middle := func(size int) int { return size / 2 }
	tests := []struct {
		name   string
		damage func(*fakeDisk)
	}{
		{"closed segment", damage(first, middle)},
		{"end of closed segment", damage(first, func(size int) int { return size - 1 })},
		{"first byte of open segment", damage(last, func(int) int { return 0 })},
		{"middle of open segment", damage(last, middle)},
		{"last synced record", damage(last, func(size int) int { return size - 40 })},
		{"snapshot", damage(snapshotSuffix, middle)},
		{"identity", damage("/"+identityName, middle)},
		{"identity lost", func(d *fakeDisk) { delete(d.files, testFolder+"/"+identityName) }},
		{"segment lost", func(d *fakeDisk) { delete(d.files, segmentPath(testFolder, 3)) }},
		{"all segments lost", func(d *fakeDisk) {
			for n := uint64(1); n < 9; n++ {
				delete(d.files, segmentPath(testFolder, n))
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newFakeDisk()
			r := openRecorder(t, d)
			if err := appendEntries(r, 1, 1, 45); err != nil {
				t.Fatal(err)
			}
			if err := r.SaveSnapshot(&messenger.LogSnapshot{Index: 5, Term: 1, Data: make([]byte, 100)}, 0); err != nil {
				t.Fatal(err)
			}
			if len(r.segments) != 4 {
				t.Fatalf("%d segments, the table expects 4", len(r.segments))
			}
			id := r.ID()
			d.locked = false // The process was killed; the disk kept everything.
			test.damage(d)
			r = &Recorder{Folder: testFolder, Files: d.fileLayer(), SegmentBytes: 600}
			err := r.Open()
			if damaged := new(DamagedError); !errors.As(err, &damaged) {
				t.Fatalf("Open returned %v", err)
			}
			if err := r.SetAside(); err != nil {
				t.Fatal(err)
			}
			r = openRecorder(t, d)
			if index, _ := r.Last(); index != 0 || r.ID() == id {
				t.Errorf("after SetAside: last entry %d, id %s, before %s", index, r.ID(), id)
			}
			known := !strings.HasPrefix(test.name, "identity")
			if got := r.Replaces(); known && (len(got) != 1 || got[0] != id) {
				t.Errorf("replaces %v, want %s", got, id)
			}
		})
	}
}

func TestFullDiskRejectsWritesAndStaysReadable(t *testing.T) {
	d := newFakeDisk()
	r := openRecorder(t, d)
	if err := appendEntries(r, 1, 1, 10); err != nil {
		t.Fatal(err)
	}
	for freeBytes := 0; freeBytes < 300; freeBytes += 7 {
		d.freeBytes = freeBytes
		last, _ := r.Last()
		var full *FullError
		err := appendEntries(r, 1, last+1, last+20)
		if !errors.As(err, &full) || !r.Full() {
			t.Fatalf("%d free bytes: appendEntries returned %v, full %v", freeBytes, err, r.Full())
		}
		last, _ = r.Last()
		checkEntries(t, r, 1, last)
		if err := r.SaveSnapshot(&messenger.LogSnapshot{Index: 3, Term: 1, Data: make([]byte, 999)}, 0); !errors.As(err, &full) {
			t.Fatalf("%d free bytes: SaveSnapshot returned %v", freeBytes, err)
		}
		d.freeBytes = -1
		if err := appendEntries(r, 1, last+1, last+1); err != nil || r.Full() {
			t.Fatalf("%d free bytes: appendEntries with free space again returned %v, full %v", freeBytes, err, r.Full())
		}
	}
	last, _ := r.Last()
	d.crash(rand.New(rand.NewSource(3)))
	checkEntries(t, openRecorder(t, d), 1, last)
}

// TestTornMarkDoesNotRaiseCommit tears a write so that a mark survives but not the entry
// after it, which replaced another entry. The replaced entry must not count as committed.
func TestTornMarkDoesNotRaiseCommit(t *testing.T) {
	for seed := range int64(200) {
		d := newFakeDisk()
		r := openRecorder(t, d)
		if err := appendEntries(r, 1, 1, 3); err != nil {
			t.Fatal(err)
		}
		seq, err := r.Append(entry(3, 2))
		if err != nil {
			t.Fatal(err)
		}
		r.SetCommit(3)
		d.stepsLeft = 1
		if err := r.Sync(seq); !errors.Is(err, errKilled) {
			t.Fatal(err)
		}
		d.crash(rand.New(rand.NewSource(seed)))
		r = openRecorder(t, d)
		if term, _ := r.Term(3); r.Commit() >= 3 && term != 2 {
			t.Fatalf("seed %d: entry 3 of term %d counts as committed", seed, term)
		}
	}
}

func TestFailedSyncIsFinal(t *testing.T) {
	d := newFakeDisk()
	r := openRecorder(t, d)
	d.stepsLeft = 1
	if err := appendEntries(r, 1, 1, 1); !errors.Is(err, errKilled) {
		t.Fatalf("appendEntries returned %v", err)
	}
	d.stepsLeft = -1
	var failed *FailedError
	if err := appendEntries(r, 1, 2, 2); !errors.As(err, &failed) {
		t.Fatalf("appendEntries after a failed sync returned %v", err)
	}
}

func TestCallersShareSyncs(t *testing.T) {
	r := &Recorder{Folder: t.TempDir(), Files: Disk()}
	if err := r.Open(); err != nil {
		t.Fatal(err)
	}
	const callers = 200
	var wg sync.WaitGroup
	var seqs []uint64
	for i := uint64(1); i <= callers; i++ {
		seq, err := r.Append(entry(i, 1))
		if err != nil {
			t.Fatal(err)
		}
		seqs = append(seqs, seq)
	}
	syncs := 0
	sync := r.file.Sync
	r.file.Sync = func() error { syncs++; return sync() }
	for _, seq := range seqs {
		wg.Go(func() {
			if err := r.Sync(seq); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if syncs != 1 {
		t.Errorf("%d syncs for %d callers", syncs, callers)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotRemovesSegments(t *testing.T) {
	d := newFakeDisk()
	r := openRecorder(t, d)
	if err := appendEntries(r, 1, 1, 100); err != nil {
		t.Fatal(err)
	}
	before := len(r.segments)
	state := bytes.Repeat([]byte("contract "), 1000)
	packed, err := Pack(state)
	if err != nil {
		t.Fatal(err)
	}
	for _, index := range []uint64{50, 90} {
		if err := r.SaveSnapshot(&messenger.LogSnapshot{Index: index, Term: 1, Data: packed}, index-5); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.segments) >= before || r.FirstIndex() != 86 {
		t.Errorf("%d segments, before %d; first index %d", len(r.segments), before, r.FirstIndex())
	}
	d.crash(rand.New(rand.NewSource(5)))
	r = openRecorder(t, d)
	checkEntries(t, r, 86, 100)
	if got, err := Unpack(r.Snapshot().Data); err != nil || !bytes.Equal(got, state) {
		t.Errorf("snapshot of %d bytes, %v", len(got), err)
	}
	if _, ok := r.Entries(r.FirstIndex()-1, 1); ok {
		t.Error("entries before the first index are not refused")
	}
}

// TestHistories runs random histories with crashes and checks that after each the log
// still reaches the last acknowledged index and term.
func TestHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged records survive", prop.ForAll(
		func(seed int64) string { return runHistory(rand.New(rand.NewSource(seed))) },
		gen.Int64(),
	))
	properties.TestingRun(t)
}

// runHistory returns what was lost, or the error of Open; empty if all is well.
func runHistory(rnd *rand.Rand) string {
	d := newFakeDisk()
	var acked, term uint64
	for range 6 {
		d.stepsLeft = 1 + rnd.Intn(80)
		r := &Recorder{Folder: testFolder, Files: d.fileLayer(), SegmentBytes: 400}
		if err := r.Open(); err != nil && !errors.Is(err, errKilled) {
			return err.Error()
		} else if err == nil {
			last, _ := r.Last()
			if got, _ := r.State(); last < acked || got < term {
				return fmt.Sprintf("last %d, acknowledged %d; term %d, acknowledged %d", last, acked, got, term)
			}
			acked, term = changeUntilKilled(r, rnd, acked, term)
		}
		d.crash(rnd)
	}
	return ""
}

// changeUntilKilled makes random changes until the process is killed, and returns the last
// acknowledged index and term.
func changeUntilKilled(r *Recorder, rnd *rand.Rand, acked, term uint64) (uint64, uint64) {
	for {
		last, _ := r.Last()
		var seq uint64
		var err error
		switch rnd.Intn(8) {
		case 0:
			seq, err = r.SetState(&messenger.LogState{Term: term + 1})
			if err != nil || r.Sync(seq) != nil {
				return acked, term
			}
			term++
			continue
		case 1:
			if last == 0 {
				continue
			}
			at, _ := r.Term(last)
			if r.SaveSnapshot(&messenger.LogSnapshot{Index: last, Term: at}, last-min(last, 2)) != nil {
				return acked, term
			}
			acked = max(acked, last)
			continue
		}
		for range 1 + rnd.Intn(3) {
			last++
			if seq, err = r.Append(entry(last, term)); err != nil {
				return acked, term
			}
		}
		if r.Sync(seq) != nil {
			return acked, term
		}
		acked = last
	}
}
