package registrar

import (
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// maxDescribedFields bounds the changed fields listed in a record.
	maxDescribedFields = 16
	// maxValueBytes bounds an old or new value in a record.
	maxValueBytes = 120
)

// describeChanges lists the fields in which two contracts differ, with their old and
// new values.
func describeChanges(old, changed Contract) []string {
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
		if len(lines) == maxDescribedFields {
			return append(lines, "and more")
		}
		lines = append(lines, fmt.Sprintf("%s: %s -> %s", at, formatValue(before[at]), formatValue(after[at])))
	}
	return lines
}

// flatten returns the JSON values of a contract's leaf fields, by place.
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
		// A nil list, null in JSON, equals an empty one.
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

func formatValue(value string) string {
	if value == "" {
		return "none"
	}
	if len(value) > maxValueBytes {
		return value[:maxValueBytes] + "..."
	}
	return value
}
