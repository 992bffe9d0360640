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
	// Path is the place, as in "defaults/customers/foodbank/weight".
	Path string `json:"path"`
	// Before and After are the values there; one is empty where the field was
	// added or removed.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the differences between two JSON documents, ordered by path.
// Elements of lists are matched by their name where all have one, and else the
// lists are compared whole. An empty or malformed document counts as absent.
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
	// The whole document is always walked, so that its first version is listed
	// field by field too.
	if path == "" && (aFields || bFields) || aFields && bFields {
		for _, name := range slices.Sorted(maps.Keys(union(a, b))) {
			diffValues(changes, joinPath(path, name), a[name], b[name])
		}
		return
	}
	*changes = append(*changes, FieldChange{Path: path, Before: encodeAny(before), After: encodeAny(after)})
}

// fieldsOf returns the fields of an object, or the elements of a list by name.
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

// elementsByName returns the elements of a list by their name, if each has its
// own.
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

// union returns a map with the keys of both.
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

// decodeAny decodes b without loss of digits; nil stands for no value.
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
		// Decoded JSON always encodes.
		panic(err)
	}
	return b
}
