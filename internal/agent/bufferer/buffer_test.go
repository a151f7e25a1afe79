package bufferer

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func TestReadGetsEachTokenOnce(t *testing.T) {
	const total = 2000
	b := NewBuffer([]string{"a", "b"})
	go func() {
		for i := 2; i < total; i++ {
			b.Append(fmt.Sprint(i))
		}
		b.Finish(Result{FinishReason: "stop"})
	}()
	reader := b.Attach()
	idle := time.NewTimer(time.Minute)
	defer idle.Stop()
	next := uint64(2)
	for {
		texts, result, replaced := b.Read(context.Background(), reader, next, idle)
		if replaced {
			t.Fatal("replaced")
		}
		for _, text := range texts {
			if want := fmt.Sprint(next); text != want {
				t.Fatalf("token %d is %q", next, text)
			}
			next++
		}
		if result != nil && len(texts) == 0 {
			break
		}
	}
	if next != total {
		t.Errorf("read up to %d", next)
	}
}

func TestNewerReaderReplacesFormer(t *testing.T) {
	b := NewBuffer(nil)
	former := b.Attach()
	idle := time.NewTimer(time.Minute)
	defer idle.Stop()
	done := make(chan bool)
	go func() {
		_, _, replaced := b.Read(context.Background(), former, 0, idle)
		done <- replaced
	}()
	newer := b.Attach()
	if !<-done {
		t.Error("the former reader was not replaced")
	}
	b.Detach(time.Unix(1, 0), former)
	if since, _ := b.Detached(); !since.IsZero() {
		t.Error("detaching the replaced reader detached the newer one")
	}
	b.Append("x")
	texts, _, replaced := b.Read(context.Background(), newer, 0, idle)
	if replaced || len(texts) != 1 {
		t.Errorf("read %q, replaced %v", texts, replaced)
	}
	b.Detach(time.Unix(2, 0), newer)
	if since, _ := b.Detached(); !since.Equal(time.Unix(2, 0)) {
		t.Errorf("detached since %v", since)
	}
}
