package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// payload is about the size in bytes of a small contract or a claim.
const payload = 512

// BenchmarkBareSync measures the minimum time of a commit: one write and one sync of the
// same size.
func BenchmarkBareSync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "bare"))
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, payload)
	for b.Loop() {
		if _, err := f.Write(data); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCommit appends and syncs batches of entries.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			r := &Recorder{Folder: b.TempDir(), Files: Disk()}
			if err := r.Open(); err != nil {
				b.Fatal(err)
			}
			var last uint64
			data := make([]byte, payload)
			for b.Loop() {
				var seq uint64
				for range batch {
					last++
					e := entry(last, 1)
					e.Data = data
					var err error
					if seq, err = r.Append(e); err != nil {
						b.Fatal(err)
					}
				}
				if err := r.Sync(seq); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(batch)*float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			if err := r.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkOpen opens logs of different lengths.
func BenchmarkOpen(b *testing.B) {
	for _, entries := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			r := &Recorder{Folder: folder, Files: Disk()}
			if err := r.Open(); err != nil {
				b.Fatal(err)
			}
			data := make([]byte, payload)
			for i := uint64(1); i <= entries; i++ {
				e := entry(i, 1)
				e.Data = data
				if _, err := r.Append(e); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if err := r.Close(); err != nil {
					b.Fatal(err)
				}
				r = &Recorder{Folder: folder, Files: Disk()}
				if err := r.Open(); err != nil {
					b.Fatal(err)
				}
			}
			if last, _ := r.Last(); last != entries {
				b.Fatalf("last entry %d, want %d", last, entries)
			}
		})
	}
}
