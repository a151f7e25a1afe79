// Package decoder decodes the JSON that operators send, strictly. It returns all
// errors as findings, each with the JSON Pointer of its place.
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

// member is one field of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// maxDepth bounds the nesting of values.
const maxDepth = 16

// Contract decodes a contract and validates it, without regard to other contracts.
// The contract is valid only if there are no findings.
func Contract(data []byte) (registrar.Contract, []registrar.Finding) {
	var c registrar.Contract
	findings := Into(data, &c)
	if len(findings) > 0 {
		return c, findings
	}
	return c, c.Check()
}

// Into decodes JSON into target, a pointer to a struct. Unknown fields, repeated
// fields and values of a wrong type are findings. Null is accepted only as an empty list.
func Into(data []byte, target any) []registrar.Finding {
	if !json.Valid(data) {
		return []registrar.Finding{{Place: "/", Message: "not valid JSON: " + syntaxMessage(data)}}
	}
	return decode(data, reflect.ValueOf(target).Elem(), "", 0)
}

// decode sets target from data, the value at pointer, and returns the findings.
func decode(data json.RawMessage, target reflect.Value, pointer string, depth int) []registrar.Finding {
	if depth > maxDepth {
		return []registrar.Finding{{Place: pointer, Message: "lies too deep"}}
	}
	switch target.Kind() {
	case reflect.Struct:
		return decodeObject(data, target, pointer, depth)
	case reflect.Slice:
		return decodeList(data, target, pointer, depth)
	default:
		return decodeValue(data, target, pointer)
	}
}

func decodeObject(data json.RawMessage, target reflect.Value, pointer string, depth int) []registrar.Finding {
	members, ok := parseMembers(data)
	if !ok {
		return []registrar.Finding{{Place: orRoot(pointer), Message: "must be an object"}}
	}
	var findings []registrar.Finding
	var seen []string
	for _, m := range members {
		memberPointer := pointer + "/" + m.name
		field, known := fieldByName(target, m.name)
		switch {
		case slices.Contains(seen, m.name):
			findings = append(findings, registrar.Finding{Place: memberPointer, Message: "is there twice; keep one"})
		case !known:
			findings = append(findings, registrar.Finding{Place: memberPointer, Message: "unknown field; known here: " + fieldNames(target)})
		default:
			findings = append(findings, decode(m.value, field, memberPointer, depth+1)...)
		}
		seen = append(seen, m.name)
	}
	return findings
}

func decodeList(data json.RawMessage, target reflect.Value, pointer string, depth int) []registrar.Finding {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return []registrar.Finding{{Place: pointer, Message: "must be a list"}}
	}
	target.Set(reflect.MakeSlice(target.Type(), len(items), len(items)))
	var findings []registrar.Finding
	for i, item := range items {
		findings = append(findings, decode(item, target.Index(i), fmt.Sprintf("%s/%d", pointer, i), depth+1)...)
	}
	return findings
}

func decodeValue(data json.RawMessage, target reflect.Value, pointer string) []registrar.Finding {
	if string(data) != "null" && json.Unmarshal(data, target.Addr().Interface()) == nil {
		return nil
	}
	return []registrar.Finding{{Place: pointer, Message: "must be " + expectedValue(target)}}
}

// parseMembers returns an object's fields in the order of the text, repeated ones
// included; false if data is no object.
func parseMembers(data json.RawMessage) ([]member, bool) {
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

// fieldByName returns the field of a struct with a JSON name.
func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
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

// orRoot returns pointer, or "/" for the whole document.
func orRoot(pointer string) string {
	if pointer == "" {
		return "/"
	}
	return pointer
}

// syntaxMessage returns the syntax error in data, with its line number.
func syntaxMessage(data []byte) string {
	var value any
	err := json.Unmarshal(data, &value)
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		line := 1 + bytes.Count(data[:min(int(syntaxErr.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d: %v", line, syntaxErr)
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return err.Error()
}

// expectedValue describes the values that target accepts.
func expectedValue(target reflect.Value) string {
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
