package registrar

import (
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// maxDescribed bounds the changed fields that a record lists.
	maxDescribed = 16
	// maxValueBytes bounds an old or new value in a record.
	maxValueBytes = 120
)

// describe lists the fields in which two contracts differ, with their old and
// new values.
func describe(old, changed Contract) []string {
	old.Number, changed.Number = 0, 0
	before, after := flatten(old), flatten(changed)
	var places []string
	for at := range before {
		places = append(places, at)
	}
	for at := range after {
		if _, ok := before[at]; !ok {
			places = append(places, at)
		}
	}
	slices.Sort(places)
	var lines []string
	for _, at := range places {
		if before[at] == after[at] {
			continue
		}
		if len(lines) == maxDescribed {
			return append(lines, "and more")
		}
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", at, shown(before[at]), shown(after[at])))
	}
	return lines
}

// flatten returns a contract's leaves by place, in JSON.
func flatten(c Contract) map[string]string {
	leaves := make(map[string]string)
	data, err := json.Marshal(c)
	if err != nil {
		return leaves
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return leaves
	}
	flattenInto(leaves, "", tree)
	return leaves
}

func flattenInto(leaves map[string]string, at string, tree any) {
	switch node := tree.(type) {
	case nil:
		// An empty list is as good as none.
	case map[string]any:
		for key, child := range node {
			flattenInto(leaves, at+"/"+key, child)
		}
	case []any:
		for i, child := range node {
			flattenInto(leaves, fmt.Sprintf("%s/%d", at, i), child)
		}
	default:
		data, err := json.Marshal(node)
		if err == nil {
			leaves[at] = string(data)
		}
	}
}

func shown(value string) string {
	if value == "" {
		return "none"
	}
	if len(value) > maxValueBytes {
		return value[:maxValueBytes] + "..."
	}
	return value
}
