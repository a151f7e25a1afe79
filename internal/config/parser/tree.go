package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// treeReader reads JSON into a tree of map[string]any, []any, string, bool,
// json.Number and nil, and reports duplicate fields as findings.
type treeReader struct {
	dec      *json.Decoder
	findings []Finding
}

// readTree parses data, which must hold exactly one JSON object. The returned object
// is nil if it does not.
func readTree(data []byte) (map[string]any, []Finding) {
	r := &treeReader{dec: json.NewDecoder(bytes.NewReader(data))}
	r.dec.UseNumber()
	value, err := r.value("")
	if err != nil {
		return nil, []Finding{{Problem: syntaxProblem(data, r.dec.InputOffset(), err)}}
	}
	root, ok := value.(map[string]any)
	if !ok {
		return nil, []Finding{{Problem: "the file must hold one JSON object, such as {\"role\": \"entry\"}"}}
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, []Finding{{Problem: position(data, r.dec.InputOffset()) + ": text after the end of the JSON object"}}
	}
	return root, r.findings
}

func (r *treeReader) list(place string) (any, error) {
	items := []any{}
	for r.dec.More() {
		item, err := r.value(place + "/" + strconv.Itoa(len(items)))
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	_, err := r.dec.Token()
	return items, err
}

func (r *treeReader) object(place string) (any, error) {
	fields := make(map[string]any)
	for r.dec.More() {
		token, err := r.dec.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("a field's name must be a string, not %v", token)
		}
		at := child(place, name)
		value, err := r.value(at)
		if err != nil {
			return nil, err
		}
		if _, twice := fields[name]; twice {
			r.findings = append(r.findings, Finding{Place: at, Problem: "the field is there twice; keep one"})
		}
		fields[name] = value
	}
	_, err := r.dec.Token()
	return fields, err
}

func (r *treeReader) value(place string) (any, error) {
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.object(place)
	case json.Delim('['):
		return r.list(place)
	}
	return token, nil
}

// child returns the JSON pointer of a field below place.
func child(place, name string) string {
	return place + "/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

// decodeTree fills s from a checked tree.
func decodeTree(root map[string]any, s *Settings) error {
	data, err := json.Marshal(root)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, s)
}

// position formats an offset in data as line and column, both from 1.
func position(data []byte, offset int64) string {
	before := data[:min(int(offset), len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

func syntaxProblem(data []byte, offset int64, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return position(data, int64(len(data))) + ": the file ends in the middle of the JSON object"
	}
	return position(data, offset) + ": not JSON: " + err.Error()
}
