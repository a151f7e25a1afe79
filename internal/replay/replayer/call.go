package replayer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenareach/internal/replay/tracer"
)

const (
	// maxCallTries bounds how often a caller asks again under the same key while
	// the outcome is unknown or the system has no room.
	maxCallTries = 10
	callPause    = 300 * time.Millisecond
	callTimeout  = 40 * time.Second
	maxAnswer    = 1 << 20
)

// call makes one call, as often as the trace says, and asks again under the same
// key until its outcome is known.
func (r *Replayer) call(ctx context.Context, s tracer.Step) Call {
	c := *s.Call
	result := Call{Step: s}
	var mu sync.Mutex
	note := func(a Answer) {
		mu.Lock()
		defer mu.Unlock()
		result.Answers = append(result.Answers, a)
	}
	entry := r.nextEntry(-1)
	var group sync.WaitGroup
	for i := range max(c.Sends, 1) {
		timeout := callTimeout
		if i == 0 && c.GiveUpAfter > 0 {
			timeout = time.Duration(c.GiveUpAfter)
		}
		from := entry
		entry = r.nextEntry(entry)
		if c.Together {
			group.Go(func() { note(r.sendCall(ctx, c, from, timeout)) })
			continue
		}
		note(r.sendCall(ctx, c, from, timeout))
	}
	group.Wait()
	for range maxCallTries {
		last := result.Answers[len(result.Answers)-1]
		if last.settled() || sleep(ctx, callPause) != nil {
			break
		}
		entry = r.nextEntry(entry)
		note(r.sendCall(ctx, c, entry, callTimeout))
	}
	return result
}

// settled tells whether a caller has no reason to ask again.
func (a Answer) settled() bool {
	switch {
	case a.Status == 0 || a.Ran == "unknown":
		return false
	case a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable:
		return false
	}
	return true
}

// sendCall sends a call to an entry once.
func (r *Replayer) sendCall(ctx context.Context, c tracer.Call, entry int, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	unanswered := Answer{Ran: "unknown"}
	req, err := r.callRequest(ctx, c, entry)
	if err != nil {
		return unanswered
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return unanswered
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return unanswered
	}
	answer := Answer{Status: resp.StatusCode, Ran: "yes"}
	var refusal refusalBody
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refusal) == nil && refusal.Ran != "" {
		answer.Ran, answer.Code = refusal.Ran, refusal.Error.Code
	}
	return answer
}

func (r *Replayer) callRequest(ctx context.Context, c tracer.Call, entry int) (*http.Request, error) {
	var body []byte
	if c.Books() {
		data, err := json.Marshal(struct {
			Reference string `json:"reference"`
		}{r.reference(c)})
		if err != nil {
			return nil, err
		}
		body = data
	}
	url := "http://" + r.Entries[entry] + "/v1/services/" + r.Trace.System.Service + "/" + strings.TrimPrefix(c.Path, "/")
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.Trace.Keys[c.Workspace])
	req.Header.Set("Content-Type", "application/json")
	if c.Books() {
		req.Header.Set("Idempotency-Key", c.Name+"-"+r.RunID)
	}
	return req, nil
}
