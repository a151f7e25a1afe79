package registrar

type (
	// SetMark marks a backend server to leave or to return.
	SetMark struct {
		Server string `json:"server"`
		// Replaces is the number of the mark that this one replaces; 0 for the first.
		Replaces uint64 `json:"replaces"`
		Leaving  bool   `json:"leaving"`
		By       string `json:"by"`
		At       int64  `json:"at"`
	}

	// MarkResult answers SetMark.
	MarkResult struct {
		Outcome Outcome `json:"outcome"`
		// Mark is the accepted mark, or in a conflict the one that won the number.
		// Its Number is 0 if it is too old to be known.
		Mark Mark `json:"mark"`
		// Current is the newest mark of the server.
		Current  Mark      `json:"current"`
		Findings []Finding `json:"findings,omitempty"`
	}

	// markBook holds the marks of backend servers, also of those that are gone.
	markBook struct {
		// marks by server, in order of number without gaps; the last is in force.
		marks map[string][]Mark
	}
)

const (
	// maxMarksEach bounds the marks kept for each backend server: at a leave and
	// a return every week they reach 9 years back.
	maxMarksEach = 1024
	// maxMarkedServers bounds the backend servers with marks.
	maxMarkedServers = 65536
)

func (b *markBook) init() {
	b.marks = make(map[string][]Mark)
}

func (b *markBook) current(server string) Mark {
	marks := b.marks[server]
	if len(marks) == 0 {
		return Mark{Server: server}
	}
	return marks[len(marks)-1]
}

func (b *markBook) set(p SetMark) (MarkResult, []Change) {
	current := b.current(p.Server)
	if findings := b.check(p); len(findings) > 0 {
		return MarkResult{Outcome: OutcomeInvalid, Current: current, Findings: findings}, nil
	}
	if p.Replaces != current.Number {
		m := b.mark(p.Server, p.Replaces+1)
		if m.Number != 0 && m.Leaving == p.Leaving {
			return MarkResult{Outcome: OutcomeRepeated, Mark: m, Current: current}, nil
		}
		return MarkResult{Outcome: OutcomeConflict, Mark: m, Current: current}, nil
	}
	m := Mark{Server: p.Server, Number: current.Number + 1, Leaving: p.Leaving, By: p.By, At: p.At}
	b.marks[p.Server] = append(b.marks[p.Server], m)
	if extra := len(b.marks[p.Server]) - maxMarksEach; extra > 0 {
		b.marks[p.Server] = b.marks[p.Server][extra:]
	}
	return MarkResult{Outcome: OutcomeAccepted, Mark: m, Current: m}, []Change{{Mark: &m}}
}

func (b *markBook) check(p SetMark) []Finding {
	if p.Server == "" {
		return []Finding{found("/server", "must not be empty")}
	}
	if _, ok := b.marks[p.Server]; !ok && len(b.marks) >= maxMarkedServers {
		return []Finding{found("/server", "too many backend servers have marks")}
	}
	return nil
}

// mark finds the mark of a number; the zero Mark if it isn't known.
func (b *markBook) mark(server string, number uint64) Mark {
	marks := b.marks[server]
	if len(marks) == 0 || number < marks[0].Number {
		return Mark{}
	}
	i := number - marks[0].Number
	if i >= uint64(len(marks)) {
		return Mark{}
	}
	return marks[i]
}
