// Package decoder reads what operators send, strictly, and tells all that is
// wrong with it, with each finding's place.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"verbenareach/internal/control/registrar"
)

// member is one field of a JSON object, in the order of the text.
type member struct {
	name  string
	value json.RawMessage
}

// maxDepth bounds how deep values may lie in each other.
const maxDepth = 16

// Contract reads a contract and checks it by itself. The contract is of use
// only if there are no findings.
func Contract(data []byte) (registrar.Contract, []registrar.Finding) {
	var c registrar.Contract
	findings := Into(data, &c)
	if len(findings) > 0 {
		return c, findings
	}
	return c, c.Check()
}

// Into reads JSON into target, a pointer to a struct. Unknown and repeated
// fields and values of a wrong type are findings.
func Into(data []byte, target any) []registrar.Finding {
	if !json.Valid(data) {
		return []registrar.Finding{{Place: "/", Message: "not valid JSON: " + syntax(data)}}
	}
	return check(data, reflect.ValueOf(target).Elem(), "", 0)
}

// check fills target from data and returns what doesn't fit.
func check(data json.RawMessage, target reflect.Value, at string, depth int) []registrar.Finding {
	if depth > maxDepth {
		return []registrar.Finding{{Place: at, Message: "lies too deep"}}
	}
	switch target.Kind() {
	case reflect.Struct:
		return checkObject(data, target, at, depth)
	case reflect.Slice:
		return checkList(data, target, at, depth)
	default:
		return checkValue(data, target, at)
	}
}

func checkObject(data json.RawMessage, target reflect.Value, at string, depth int) []registrar.Finding {
	members, ok := membersOf(data)
	if !ok {
		return []registrar.Finding{{Place: orRoot(at), Message: "must be an object"}}
	}
	var findings []registrar.Finding
	var seen []string
	for _, m := range members {
		place := at + "/" + m.name
		field, known := fieldOf(target, m.name)
		switch {
		case slices.Contains(seen, m.name):
			findings = append(findings, registrar.Finding{Place: place, Message: "is there twice; keep one"})
		case !known:
			findings = append(findings, registrar.Finding{Place: place, Message: "unknown field; known here: " + fieldNames(target)})
		default:
			findings = append(findings, check(m.value, field, place, depth+1)...)
		}
		seen = append(seen, m.name)
	}
	return findings
}

func checkList(data json.RawMessage, target reflect.Value, at string, depth int) []registrar.Finding {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return []registrar.Finding{{Place: at, Message: "must be a list"}}
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	var findings []registrar.Finding
	for i, item := range items {
		findings = append(findings, check(item, target.Index(i), fmt.Sprintf("%s/%d", at, i), depth+1)...)
	}
	return findings
}

func checkValue(data json.RawMessage, target reflect.Value, at string) []registrar.Finding {
	if string(data) != "null" && json.Unmarshal(data, target.Addr().Interface()) == nil {
		return nil
	}
	return []registrar.Finding{{Place: at, Message: "must be " + wanted(target)}}
}

// membersOf splits an object into its fields.
func membersOf(data json.RawMessage) ([]member, bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	if token, err := dec.Token(); err != nil || token != json.Delim('{') {
		return nil, false
	}
	var members []member
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, false
		}
		m := member{name: fmt.Sprint(token)}
		if err := dec.Decode(&m.value); err != nil {
			return nil, false
		}
		members = append(members, m)
	}
	return members, true
}

// fieldOf returns the struct's field with a JSON name.
func fieldOf(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if jsonName(target.Type().Field(i)) == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(target reflect.Value) string {
	names := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		names = append(names, jsonName(target.Type().Field(i)))
	}
	return strings.Join(names, ", ")
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func orRoot(at string) string {
	if at == "" {
		return "/"
	}
	return at
}

func syntax(data []byte) string {
	var value any
	err := json.Unmarshal(data, &value)
	var bad *json.SyntaxError
	if errors.As(err, &bad) {
		line := 1 + bytes.Count(data[:min(int(bad.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d: %v", line, bad)
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return err.Error()
}

// wanted names the values that fit.
func wanted(target reflect.Value) string {
	if target.Type() == reflect.TypeFor[registrar.Duration]() {
		return `a duration such as "250ms"`
	}
	switch target.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}
