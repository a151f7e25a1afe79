package parser

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

type (
	// Kind is the type of a field's value.
	Kind string

	// Field is the rule for one field of the settings file. Fields holds all rules.
	Field struct {
		// Place is the field's JSON pointer; an item of a list is written as *.
		Place string
		Kind  Kind
		// Unit of a number, such as bytes; empty if it has none.
		Unit string
		// Required fields must be present if the enclosing object is.
		Required bool
		// Default is the value of a missing field as JSON text; empty for none.
		Default string
		// Min and Max are inclusive bounds of numbers, of durations and of the lengths of
		// lists and strings; empty for no bound.
		Min, Max string
		// Choices are the values of a KindChoice.
		Choices []string
		// Doc describes the field in one sentence.
		Doc string
	}
)

// Kinds of fields.
const (
	KindObject   Kind = "object"
	KindList     Kind = "list"
	KindName     Kind = "name"
	KindText     Kind = "text"
	KindChoice   Kind = "choice"
	KindAddress  Kind = "address"
	KindListen   Kind = "listen address"
	KindHash     Kind = "SHA-256 hash"
	KindInteger  Kind = "integer"
	KindNumber   Kind = "number"
	KindDuration Kind = "duration"
	KindBool     Kind = "true or false"
)

// anyItem is the wildcard for the items of a list in a field's place.
const anyItem = "*"

var (
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

	// kindChecks holds, by kind, the functions that validate a value. They return the
	// problem, or an empty string.
	kindChecks = map[Kind]func(Field, any) string{
		KindObject:   checkObject,
		KindList:     checkList,
		KindName:     checkName,
		KindText:     checkText,
		KindChoice:   checkChoice,
		KindAddress:  checkAddress,
		KindListen:   checkListen,
		KindHash:     checkHash,
		KindInteger:  checkInteger,
		KindNumber:   checkNumber,
		KindDuration: checkDuration,
		KindBool:     checkBool,
	}
)

// Row returns the field's row in docs/settings.md.
func (f Field) Row() string {
	value := string(f.Kind)
	if len(f.Choices) > 0 {
		value = "`" + strings.Join(f.Choices, "`, `") + "`"
	}
	fallback := "none"
	switch {
	case f.Required:
		fallback = "required"
	case f.Default != "":
		fallback = "`" + f.Default + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", f.Place, value, orDash(f.Unit), fallback, f.bounds(), f.Doc)
}

func (f Field) bounds() string {
	switch {
	case f.Min != "" && f.Max != "":
		return f.Min + " to " + f.Max
	case f.Min != "":
		return "at least " + f.Min
	case f.Max != "":
		return "at most " + f.Max
	}
	return "-"
}

// boundsProblem returns the problem if value is outside the field's bounds, or an
// empty string.
func (f Field) boundsProblem(value float64, parse func(string) float64) string {
	if f.Min != "" && value < parse(f.Min) || f.Max != "" && value > parse(f.Max) {
		return "is out of bounds: " + f.bounds()
	}
	return ""
}

// checkTree checks a whole file against Fields.
func checkTree(root map[string]any) []Finding {
	c := treeChecker{rules: make(map[string]Field, len(Fields))}
	for _, f := range Fields {
		c.rules[f.Place] = f
	}
	c.object("", "", root)
	return c.findings
}

// treeChecker walks a tree, checks it against the rules and collects findings.
type treeChecker struct {
	// rules holds Fields by place.
	rules    map[string]Field
	findings []Finding
}

func (c *treeChecker) addFinding(place, problem string) {
	c.findings = append(c.findings, Finding{Place: place, Problem: problem})
}

// object checks the fields of the object at place, whose rules lie below rule.
func (c *treeChecker) object(rule, place string, fields map[string]any) {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.value(child(rule, name), child(place, name), fields[name])
	}
	for _, f := range Fields {
		parent, name := splitPlace(f.Place)
		if _, ok := fields[name]; parent == rule && f.Required && !ok {
			c.addFinding(child(place, name), "is missing: "+f.Doc)
		}
	}
}

func (c *treeChecker) value(rule, place string, value any) {
	f, known := c.rules[rule]
	if !known {
		c.addFinding(place, "unknown field"+c.suggestion(rule))
		return
	}
	if problem := kindChecks[f.Kind](f, value); problem != "" {
		c.addFinding(place, problem)
		return
	}
	switch v := value.(type) {
	case map[string]any:
		c.object(rule, place, v)
	case []any:
		for i, item := range v {
			c.value(child(rule, anyItem), child(place, strconv.Itoa(i)), item)
		}
	}
}

// suggestion returns the end of a finding about an unknown field: the right spelling
// if only the case differs, otherwise the known fields of the object.
func (c *treeChecker) suggestion(rule string) string {
	parent, unknown := splitPlace(rule)
	var names []string
	for _, f := range Fields {
		candidateParent, name := splitPlace(f.Place)
		if candidateParent != parent || name == anyItem {
			continue
		}
		if strings.EqualFold(name, unknown) {
			return "; write " + name
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	return "; known here: " + strings.Join(names, ", ")
}

// fillDefaults sets the missing fields of a checked tree to their defaults.
func fillDefaults(root map[string]any) {
	for _, f := range Fields {
		if f.Default == "" {
			continue
		}
		parent, name := splitPlace(f.Place)
		for _, object := range objectsAt(root, parent) {
			if _, ok := object[name]; !ok {
				object[name] = json.RawMessage(f.Default)
			}
		}
	}
}

// objectsAt returns the objects of a checked tree at place.
func objectsAt(value any, place string) []map[string]any {
	if place == "" {
		if object, ok := value.(map[string]any); ok {
			return []map[string]any{object}
		}
		return nil
	}
	name, rest, _ := strings.Cut(place[1:], "/")
	if rest != "" {
		rest = "/" + rest
	}
	switch v := value.(type) {
	case map[string]any:
		return objectsAt(v[name], rest)
	case []any:
		var all []map[string]any
		for _, item := range v {
			all = append(all, objectsAt(item, rest)...)
		}
		return all
	}
	return nil
}

// splitPlace splits a place into the place of the enclosing object and the field's
// name.
func splitPlace(place string) (parent, name string) {
	i := strings.LastIndexByte(place, '/')
	return place[:i], place[i+1:]
}

func checkAddress(f Field, value any) string {
	if problem := checkListen(f, value); problem != "" {
		return problem
	}
	text, _ := value.(string)
	if addr, err := netip.ParseAddrPort(text); err == nil && addr.Addr().IsUnspecified() {
		return fmt.Sprintf("%q stands for all addresses of the host; write the one that others reach it at", text)
	}
	return ""
}

func checkBool(_ Field, value any) string {
	if _, ok := value.(bool); !ok {
		return "must be true or false, not " + describe(value)
	}
	return ""
}

func checkChoice(f Field, value any) string {
	text, ok := value.(string)
	if !ok || !slices.Contains(f.Choices, text) {
		return "must be one of " + strings.Join(f.Choices, ", ") + ", not " + describe(value)
	}
	return ""
}

func checkDuration(f Field, value any) string {
	text, ok := value.(string)
	if !ok {
		return "must be a duration such as \"250ms\", not " + describe(value)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return "must be a duration such as \"250ms\", not " + describe(value)
	}
	return f.boundsProblem(float64(d), parseDuration)
}

func checkHash(_ Field, value any) string {
	text, ok := value.(string)
	if !ok || !hashPattern.MatchString(text) {
		// The value itself is not shown: someone may have put the key there.
		return "must be a SHA-256 hash of 64 lower-case hex digits; make it with: printf %s KEY | sha256sum"
	}
	return ""
}

func checkInteger(f Field, value any) string {
	number, ok := value.(json.Number)
	if !ok {
		return "must be an integer, not " + describe(value)
	}
	n, err := number.Int64()
	if err != nil {
		return "must be an integer, not " + describe(value)
	}
	return f.boundsProblem(float64(n), parseNumber)
}

func checkList(f Field, value any) string {
	items, ok := value.([]any)
	if !ok {
		return "must be a list, not " + describe(value)
	}
	if problem := f.boundsProblem(float64(len(items)), parseNumber); problem != "" {
		return "has " + strconv.Itoa(len(items)) + " items, which " + problem
	}
	return ""
}

func checkListen(_ Field, value any) string {
	text, ok := value.(string)
	if !ok {
		return "must be an IP number and port such as \"127.0.0.1:7001\", not " + describe(value)
	}
	addr, err := netip.ParseAddrPort(text)
	if err == nil && addr.Port() != 0 {
		return ""
	}
	host, _, found := strings.Cut(text, ":")
	if _, ipErr := netip.ParseAddr(host); found && ipErr != nil && host != "" && !strings.HasPrefix(text, "[") {
		return fmt.Sprintf("%q has a name where an IP number must stand; names are not looked up: write it such as \"127.0.0.1:7001\"", text)
	}
	return fmt.Sprintf("%q is not an IP number and a port of 1 to 65535; write it such as \"127.0.0.1:7001\"", text)
}

func checkName(_ Field, value any) string {
	text, ok := value.(string)
	if !ok || !namePattern.MatchString(text) {
		return "must be a name of 1 to 63 lower-case letters, digits and inner hyphens, not " + describe(value)
	}
	return ""
}

func checkNumber(f Field, value any) string {
	number, ok := value.(json.Number)
	if !ok {
		return "must be a number, not " + describe(value)
	}
	n, err := number.Float64()
	if err != nil {
		return "must be a number, not " + describe(value)
	}
	return f.boundsProblem(n, parseNumber)
}

func checkObject(_ Field, value any) string {
	if _, ok := value.(map[string]any); !ok {
		return "must be an object, not " + describe(value)
	}
	return ""
}

func checkText(f Field, value any) string {
	text, ok := value.(string)
	if !ok {
		return "must be a string, not " + describe(value)
	}
	if problem := f.boundsProblem(float64(len(text)), parseNumber); problem != "" {
		return "has " + strconv.Itoa(len(text)) + " bytes, which " + problem
	}
	return ""
}

// describe formats a wrong value for a finding and truncates it.
func describe(value any) string {
	switch value.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	}
	const shown = 60
	text, err := json.Marshal(value)
	if err != nil {
		return "a value that can't be shown"
	}
	if len(text) > shown {
		return string(text[:shown]) + "..."
	}
	return string(text)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// parseDuration parses a bound of Fields; a test ensures that the bounds are valid.
func parseDuration(text string) float64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return float64(d)
}

// parseNumber parses a bound of Fields; a test ensures that the bounds are valid.
func parseNumber(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return n
}
