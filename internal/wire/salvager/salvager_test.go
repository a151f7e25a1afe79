package salvager

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

const unreadable = "a\xff"

func TestUnreadableTextCostsMoreThanItsEntry(t *testing.T) {
	sound := &messenger.LinkMessage{
		Leads: 7, Host: &messenger.FleetHost{Name: "h"},
		Backends: []*messenger.Backend{{Id: "i-1"}, {Id: "i-2"}},
		Places:   []*messenger.PlaceRequest{{Run: "r", Parts: []*messenger.PromptPart{{Id: "p"}}, Avoid: []string{"i-1"}}},
		Runs:     []*messenger.RunState{{Run: "r", Request: &messenger.PlaceRequest{Run: "r", Parts: []*messenger.PromptPart{{Id: "p"}}}}},
		CrashReports: []*messenger.CrashReport{{
			Crashes:      []*messenger.EngineCrash{{Backend: "i-1", Runs: []*messenger.BeginningRun{{Run: "r", Parts: []string{"p"}}}}},
			HealthyParts: []*messenger.HealthyPart{{Id: "p"}},
		}},
		Evacuations: &messenger.Evacuations{Revision: 3, Evacuations: []*messenger.Evacuation{{FailureDomain: "z"}}},
	}
	tests := []struct {
		name  string
		spoil func(m *messenger.LinkMessage)
	}{
		{"nothing", func(*messenger.LinkMessage) {}},
		{"a report", func(m *messenger.LinkMessage) {
			m.Backends = append([]*messenger.Backend{{Id: unreadable}}, m.Backends...)
		}},
		{"the zone of a report", func(m *messenger.LinkMessage) {
			m.Backends = append(m.Backends, &messenger.Backend{Id: "i-3", FailureDomain: unreadable})
		}},
		{"a part of a request", func(m *messenger.LinkMessage) {
			m.Places[0].Parts = append(m.Places[0].Parts, &messenger.PromptPart{Id: unreadable})
		}},
		{"a part of a run's request", func(m *messenger.LinkMessage) {
			m.Runs[0].Request.Parts = append(m.Runs[0].Request.Parts, &messenger.PromptPart{Id: unreadable})
		}},
		{"a text in a list", func(m *messenger.LinkMessage) { m.Places[0].Avoid = append(m.Places[0].Avoid, unreadable) }},
		{"a part of a crash", func(m *messenger.LinkMessage) {
			run := m.CrashReports[0].Crashes[0].Runs[0]
			run.Parts = append(run.Parts, unreadable)
		}},
		{"an evacuation", func(m *messenger.LinkMessage) {
			m.Evacuations.Evacuations = append(m.Evacuations.Evacuations, &messenger.Evacuation{FailureDomain: unreadable})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spoiled := proto.CloneOf(sound)
			tt.spoil(spoiled)
			before := proto.CloneOf(spoiled)
			got, lost := Sound(spoiled)
			if !proto.Equal(got, sound) {
				t.Errorf("got %v", got)
			}
			if tt.name != "nothing" && (len(lost) != 1 || !strings.Contains(lost[0], `"a\xff"`)) {
				t.Errorf("lost %q", lost)
			}
			if _, err := proto.Marshal(got); err != nil {
				t.Error(err)
			}
			if !proto.Equal(before, spoiled) {
				t.Error("the message itself was changed")
			}
		})
	}
}

func TestSplitMessageSaysTheSame(t *testing.T) {
	const limit = 500
	m := &messenger.LinkMessage{AllRuns: true, Leads: 3}
	for n := range 40 {
		m.Backends = append(m.Backends, &messenger.Backend{Id: fmt.Sprint("i-", n), Address: strings.Repeat("x", 50)})
		m.Runs = append(m.Runs, &messenger.RunState{Run: fmt.Sprint("r-", n)})
	}
	m.Runs = append(m.Runs, &messenger.RunState{Run: strings.Repeat("large", limit)}, &messenger.RunState{Run: "last"})
	joined := &messenger.LinkMessage{}
	for _, part := range Split(m, limit) {
		if size := proto.Size(part); size > limit && len(part.Runs)+len(part.Backends) != 1 {
			t.Errorf("a part has %d bytes, and entries that could be apart", size)
		}
		proto.Merge(joined, part)
	}
	if !proto.Equal(joined, m) {
		t.Errorf("joined, the parts are %v", joined)
	}
	if got := Split(&messenger.LinkMessage{Leads: 3}, limit); len(got) != 1 || got[0].Leads != 3 {
		t.Errorf("a small message becomes %v", got)
	}
}

func TestUnreadableEntryCostsTheReceiverTheMessage(t *testing.T) {
	data, err := proto.Marshal(&messenger.LinkMessage{Leads: 7, Backends: []*messenger.Backend{{Id: "i-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	entry := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), unreadable)
	data = protowire.AppendBytes(protowire.AppendTag(data, 5, protowire.BytesType), entry)
	rest, err := proto.Marshal(&messenger.LinkMessage{Backends: []*messenger.Backend{{Id: "i-2"}}})
	if err != nil {
		t.Fatal(err)
	}
	m := &messenger.LinkMessage{}
	lost, err := Decode(append(data, rest...), m)
	if err != nil || len(lost) != 1 || m.Leads != 7 || len(m.Backends) != 2 || m.Backends[1].Id != "i-2" {
		t.Errorf("decoded as %v, lost %v, error %v", m, lost, err)
	}
	if _, err := Decode([]byte{0x0a, 0x7f, 1}, m); err == nil {
		t.Error("a torn message is decoded")
	}
}
