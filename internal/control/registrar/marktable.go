package registrar

type (
	// SetMark sets or clears a backend server's leave mark.
	SetMark struct {
		Server string `json:"server"`
		// Replaces is the number of the mark that this one replaces; 0 for the first.
		Replaces uint64 `json:"replaces"`
		Leaving  bool   `json:"leaving"`
		// By names the operator, At is the operator's time in Unix nanoseconds.
		By string `json:"by"`
		At int64  `json:"at"`
	}

	// MarkResult answers SetMark.
	MarkResult struct {
		Outcome Outcome `json:"outcome"`
		// Mark is the accepted mark, or in a conflict the one that was accepted under
		// the number after Replaces. Its Number is 0 if that one is not kept.
		Mark Mark `json:"mark"`
		// Current is the newest mark of the server.
		Current  Mark      `json:"current"`
		Findings []Finding `json:"findings,omitempty"`
	}

	// markTable holds the marks of backend servers, including removed servers.
	markTable struct {
		// marks are the kept marks by server, in order of number without gaps; the
		// last is in force.
		marks map[string][]Mark
	}
)

const (
	// maxMarksPerServer bounds the marks kept for each backend server: with one
	// leave and one return a week they cover 9 years.
	maxMarksPerServer = 1024
	// maxMarkedServers bounds the backend servers with marks.
	maxMarkedServers = 65536
)

func (t *markTable) init() {
	t.marks = make(map[string][]Mark)
}

// current returns the newest mark of a server; its Number is 0 if there is none.
func (t *markTable) current(server string) Mark {
	marks := t.marks[server]
	if len(marks) == 0 {
		return Mark{Server: server}
	}
	return marks[len(marks)-1]
}

// set accepts a mark if it replaces the newest one. A mark that was accepted before
// under the same number and with the same Leaving counts as repeated.
func (t *markTable) set(p SetMark) (MarkResult, []Change) {
	current := t.current(p.Server)
	if findings := t.check(p); len(findings) > 0 {
		return MarkResult{Outcome: OutcomeInvalid, Current: current, Findings: findings}, nil
	}
	if p.Replaces != current.Number {
		m := t.mark(p.Server, p.Replaces+1)
		if m.Number != 0 && m.Leaving == p.Leaving {
			return MarkResult{Outcome: OutcomeRepeated, Mark: m, Current: current}, nil
		}
		return MarkResult{Outcome: OutcomeConflict, Mark: m, Current: current}, nil
	}
	m := Mark{Server: p.Server, Number: current.Number + 1, Leaving: p.Leaving, By: p.By, At: p.At}
	t.marks[p.Server] = append(t.marks[p.Server], m)
	if extra := len(t.marks[p.Server]) - maxMarksPerServer; extra > 0 {
		t.marks[p.Server] = t.marks[p.Server][extra:]
	}
	return MarkResult{Outcome: OutcomeAccepted, Mark: m, Current: m}, []Change{{Mark: &m}}
}

func (t *markTable) check(p SetMark) []Finding {
	if p.Server == "" {
		return []Finding{newFinding("/server", "must not be empty")}
	}
	if _, ok := t.marks[p.Server]; !ok && len(t.marks) >= maxMarkedServers {
		return []Finding{newFinding("/server", "too many backend servers have marks")}
	}
	return nil
}

// mark returns the mark of a number, or the zero Mark if it isn't kept.
func (t *markTable) mark(server string, number uint64) Mark {
	marks := t.marks[server]
	if len(marks) == 0 || number < marks[0].Number {
		return Mark{}
	}
	i := number - marks[0].Number
	if i >= uint64(len(marks)) {
		return Mark{}
	}
	return marks[i]
}
