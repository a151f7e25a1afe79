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
	// maxCallTries bounds how often a caller retries with the same idempotency key
	// while the outcome is unknown or the system is overloaded.
	maxCallTries   = 10
	callRetryDelay = 300 * time.Millisecond
	callTimeout    = 40 * time.Second
	maxAnswer      = 1 << 20
)

// call sends one call as often as the trace states and then retries with the same
// idempotency key until its outcome is final.
func (r *Replayer) call(ctx context.Context, s tracer.Step) Call {
	c := *s.Call
	result := Call{Step: s}
	var mu sync.Mutex
	addAnswer := func(a Answer) {
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
			group.Go(func() { addAnswer(r.sendCall(ctx, c, from, timeout)) })
			continue
		}
		addAnswer(r.sendCall(ctx, c, from, timeout))
	}
	group.Wait()
	for range maxCallTries {
		last := result.Answers[len(result.Answers)-1]
		if last.final() || sleep(ctx, callRetryDelay) != nil {
			break
		}
		entry = r.nextEntry(entry)
		addAnswer(r.sendCall(ctx, c, entry, callTimeout))
	}
	return result
}

// final reports whether the answer is final, so that the caller need not retry.
func (a Answer) final() bool {
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
	if c.IsBooking() {
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
	if c.IsBooking() {
		req.Header.Set("Idempotency-Key", c.Name+"-"+r.RunID)
	}
	return req, nil
}
