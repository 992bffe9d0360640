package configurer

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
)

// FieldChange is one difference between two documents.
type FieldChange struct {
	// Path locates the field, as in "defaults/customers/foodbank/weight".
	Path string `json:"path"`
	// Before and After are the values of the field. Before is empty if the field
	// was added, After if it was removed.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the differences between two JSON documents, ordered by path.
// Elements of lists are matched by name if all have unique names; otherwise each
// list is compared as one value. An empty or malformed document counts as absent.
func Diff(before, after []byte) []FieldChange {
	var changes []FieldChange
	diffValues(&changes, "", decodeAny(before), decodeAny(after))
	return changes
}

// diffValues appends the differences between two values at path.
func diffValues(changes *[]FieldChange, path string, before, after any) {
	if reflect.DeepEqual(before, after) {
		return
	}
	a, aFields := fieldsOf(before)
	b, bFields := fieldsOf(after)
	// The top level is always compared field by field, so that the first version
	// of a document is listed by field too.
	if path == "" && (aFields || bFields) || aFields && bFields {
		for _, name := range slices.Sorted(maps.Keys(union(a, b))) {
			diffValues(changes, joinPath(path, name), a[name], b[name])
		}
		return
	}
	*changes = append(*changes, FieldChange{Path: path, Before: encodeAny(before), After: encodeAny(after)})
}

// fieldsOf returns the fields of an object, or the elements of a list by name.
// The second result is false for any other value.
func fieldsOf(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		return elementsByName(v)
	default:
		return nil, false
	}
}

// elementsByName returns the elements of a list by name. The second result is
// false if an element has no name or two share one.
func elementsByName(list []any) (map[string]any, bool) {
	byName := make(map[string]any, len(list))
	for _, element := range list {
		object, _ := element.(map[string]any)
		name, ok := object["name"].(string)
		if !ok {
			return nil, false
		}
		byName[name] = element
	}
	return byName, len(byName) == len(list)
}

// union returns a map with the keys of a and b; for a shared key it holds the
// value of b.
func union(a, b map[string]any) map[string]any {
	u := maps.Clone(a)
	if u == nil {
		u = make(map[string]any, len(b))
	}
	maps.Copy(u, b)
	return u
}

// joinPath appends a name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// decodeAny decodes b without loss of digits. It returns nil if b is empty or
// malformed.
func decodeAny(b []byte) any {
	var v any
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if d.Decode(&v) != nil {
		return nil
	}
	return v
}

// encodeAny is the reverse of decodeAny.
func encodeAny(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		// A value that was decoded from JSON can always be encoded.
		panic(err)
	}
	return b
}
