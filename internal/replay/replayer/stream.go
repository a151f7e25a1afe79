package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/generation/sequencer"
)

// streamEnd is why reading a stream stopped.
type streamEnd int

const (
	streamBroken streamEnd = iota
	streamWhole
	streamIncomplete
	streamVanished
)

const (
	// stallDefault is the length of a stall where the trace states none.
	stallDefault = 500 * time.Millisecond
	maxEvent     = 1 << 20
)

// read reads events until the stream ends in one way or another.
func (c *generationCaller) read(body io.Reader) streamEnd {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	var id, name string
	for lines.Scan() {
		line := lines.Bytes()
		field, value, _ := bytes.Cut(line, []byte(": "))
		switch {
		case len(line) == 0:
			id, name = "", ""
		case string(field) == "id":
			id = string(value)
		case string(field) == "event":
			name = string(value)
		case string(field) != "data":
		case name == "end":
			c.result.Ending = EndedWhole
			c.result.Lost += max(c.generate.Length-c.result.Tokens-c.result.Lost, 0)
			return streamWhole
		case name == "incomplete":
			c.incomplete(value)
			return streamIncomplete
		case id != "":
			c.token(id, value)
			if n := c.generate.VanishAfter; n > 0 && !c.vanished && c.result.Tokens >= n {
				return streamVanished
			}
		}
	}
	if err := lines.Err(); err != nil {
		c.result.Cause = err.Error()
	}
	return streamBroken
}

func (c *generationCaller) incomplete(data []byte) {
	c.result.Ending = EndedIncomplete
	var refusal refusalBody
	if err := json.Unmarshal(data, &refusal); err != nil {
		c.result.Cause = err.Error()
		return
	}
	c.result.Cause, c.result.Ran = refusal.Error.Code+": "+refusal.Error.Message, refusal.Ran
}

// token takes one token: it must be the next one, with the expected text.
func (c *generationCaller) token(id string, data []byte) {
	now := time.Now()
	cursor, err := sequencer.ParseCursor(id)
	var chunk completionChunk
	if err != nil || json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) != 1 {
		c.result.Wrong++
		return
	}
	c.lastID = id
	next := int64(c.result.Tokens + c.result.Lost)
	switch {
	case cursor.Index < next:
		c.result.Doubled++
		return
	case cursor.Index > next:
		c.result.Lost += int(cursor.Index - next)
	}
	if chunk.Choices[0].Text != emulator.TokenText(c.generate.Seed, c.prompt.Digest, int(cursor.Index)) {
		c.result.Wrong++
	}
	c.result.Tokens++
	c.result.ID = cursor.Generation
	c.visit(cursor)
	c.measure(now)
}

// measure notes the time of a token.
func (c *generationCaller) measure(now time.Time) {
	gap := now.Sub(c.newest)
	c.newest = now
	if c.result.Tokens == 1 {
		c.result.FirstToken = now.Sub(c.sent)
		c.replayer.collected.add(func(res *Result) { observe(res.FirstTokens, c.result.FirstToken) })
		return
	}
	c.replayer.collected.add(func(res *Result) { observe(res.Gaps, gap) })
	c.result.LongestGap = max(c.result.LongestGap, gap)
	stall := time.Duration(c.replayer.Trace.Outcomes.Stall)
	if stall == 0 {
		stall = stallDefault
	}
	if gap > stall {
		c.result.Stalls++
		c.result.StallTime += gap
	}
}

func (c *generationCaller) visit(cursor sequencer.Cursor) {
	if n := len(c.result.Visits); n > 0 && c.result.Visits[n-1].Epoch == cursor.Epoch && c.result.Visits[n-1].Server == cursor.Server {
		return
	}
	c.result.Visits = append(c.result.Visits, Visit{Server: cursor.Server, Epoch: cursor.Epoch, At: c.replayer.since()})
}
