package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

type (
	// record is the file in which all processes of a case note what was sent, answered and run. Each line is
	// written at once, so that several processes may share the file.
	record struct {
		path string
		file *os.File
	}

	// entry is one line of a record.
	entry struct {
		What   string
		Fields map[string]string
	}
)

// openRecord opens the record at path; with empty set, what it held is dropped.
func openRecord(path string, empty bool) (*record, error) {
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if empty {
		flags |= os.O_TRUNC
	}
	file, err := os.OpenFile(path, flags, 0o644)
	if err != nil {
		return nil, err
	}
	return &record{path: path, file: file}, nil
}

// add notes what happened, with names and values of further fields.
func (r *record) add(what string, fields ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s", time.Now().UTC().Format("15:04:05.000"), strconv.Quote(what))
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%s", fields[i], strconv.Quote(fmt.Sprint(fields[i+1])))
	}
	line.WriteByte('\n')
	// A record that can't be written shows as missing lines, which the checks find.
	_, _ = r.file.WriteString(line.String())
}

// entries reads what was noted so far.
func (r *record) entries() ([]entry, error) {
	file, err := os.Open(r.path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var list []entry
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if e, ok := parseEntry(lines.Text()); ok {
			list = append(list, e)
		}
	}
	return list, nil
}

// parseEntry parses a line that add wrote.
func parseEntry(line string) (e entry, ok bool) {
	_, rest, ok := strings.Cut(line, " ")
	if !ok {
		return e, false
	}
	e.Fields = make(map[string]string)
	e.What, rest, ok = cutQuoted(rest)
	for ok && rest != "" {
		var name, value string
		name, rest, ok = strings.Cut(strings.TrimPrefix(rest, " "), "=")
		if ok {
			value, rest, ok = cutQuoted(rest)
			e.Fields[name] = value
		}
	}
	return e, ok
}

// cutQuoted returns the quoted text that begins s, and what follows it.
func cutQuoted(s string) (text, rest string, ok bool) {
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", false
	}
	text, err = strconv.Unquote(quoted)
	return text, s[len(quoted):], err == nil
}
