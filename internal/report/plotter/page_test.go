package plotter

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/report/assessor"
	"verbenareach/internal/report/printer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

// sampleReport returns a report of two entries, with one series that misses its targets and one that meets them.
func sampleReport() assessor.Report {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	targets := registrar.Targets{
		FirstToken: registrar.Duration(550 * time.Millisecond), BetweenTokens: registrar.Duration(46 * time.Millisecond), Objective: 0.95,
	}
	rota := reporter.Key{Workspace: "daugava-union", Model: "rota-writer"}
	replies := make([]*messenger.BurnReply, 0, 2)
	for e, name := range []string{"entry-riga-a", "entry-riga-b"} {
		r := &reporter.Reporter{Process: name, Since: start}
		for i := range 300 {
			now := start.Add(time.Duration(i) * time.Second)
			s := r.Open(now, rota, targets)
			now = now.Add(time.Duration(150+i*2+100*e) * time.Millisecond)
			for j := range 50 {
				s.Tokens(now, 1)
				now = now.Add(time.Duration(15+(i*7+j*13)%40) * time.Millisecond)
			}
			s.End(now, i%40 != 0)
		}
		r.Refused(start.Add(5*time.Minute), rota, reporter.RefusedRoom)
		r.Called(start, reporter.ServiceKey("school-choirs", "rota"), registrar.Targets{}, 12*time.Millisecond, true)
		replies = append(replies, r.Snapshot(start.Add(5*time.Minute), nil))
	}
	return assessor.Assess(start.Add(5*time.Minute), replies, []string{"entry-riga-c"})
}

func TestPageIsCompleteAndSelfContained(t *testing.T) {
	var page bytes.Buffer
	if err := Write(&page, sampleReport()); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, want := range []string{"daugava-union / rota-writer", "school-choirs / service/rota", "entry-riga-c", "<svg", "first token within 550 ms", "class=\"state act\""} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, unwanted := range []string{"<script", "<link", "src=", "href=\"http", "<?xml"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page holds %q", unwanted)
		}
	}
	if n := strings.Count(text, "<svg"); n != 6 {
		t.Errorf("%d plots, want 6", n)
	}
	checkTags(t, text)
	if path := os.Getenv("PAGE_OUT"); path != "" {
		if err := os.WriteFile(path, page.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// checkTags tokenizes the page as HTML, which fails on unclosed tags.
func checkTags(t *testing.T, text string) {
	t.Helper()
	dec := xml.NewDecoder(strings.NewReader(text))
	dec.Strict = false
	dec.AutoClose = xml.HTMLAutoClose
	dec.Entity = xml.HTMLEntity
	for {
		if _, err := dec.Token(); err != nil {
			if !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			return
		}
	}
}

func TestPageWithoutSeries(t *testing.T) {
	var page bytes.Buffer
	if err := Write(&page, assessor.Assess(time.Unix(0, 0), nil, nil)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "Nothing has been counted yet") {
		t.Errorf("page: %s", &page)
	}
}

func TestPrint(t *testing.T) {
	var text bytes.Buffer
	if err := printer.Print(&text, sampleReport()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"from 2 entries", "did not answer: entry-riga-c", "ACT  daugava-union / rota-writer", "OK  school-choirs / service/rota", "budget left over 3 d"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, &text)
		}
	}
	if os.Getenv("PAGE_OUT") != "" {
		t.Log("\n" + text.String())
	}
}
