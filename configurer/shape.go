package configurer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// unmarshaler is the type of values that decode themselves.
var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// rawMessage is the type of values that are decoded later.
var rawMessage = reflect.TypeFor[json.RawMessage]()

// shape compares a decoded tree with the type it is meant for, records every
// unknown field and every value of a wrong kind, and returns the tree without
// them. The second result is false where v itself is of a wrong kind.
func (i *inspector) shape(path string, t reflect.Type, v any) (any, bool) {
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return v, i.shapeOfUnmarshaler(path, t, v)
	}
	switch t.Kind() {
	case reflect.Struct:
		return i.shapeOfStruct(path, t, v)
	case reflect.Slice:
		return i.shapeOfSlice(path, t, v)
	default:
		ok := fitsScalar(t, v)
		if !ok {
			i.wrongKind(path, t, v)
		}
		return v, ok
	}
}

// shapeOfUnmarshaler lets the type's own method judge.
func (i *inspector) shapeOfUnmarshaler(path string, t reflect.Type, v any) bool {
	if t == rawMessage {
		return true
	}
	err := json.Unmarshal(encodeNode(v), reflect.New(t).Interface())
	i.check(path, err)
	return err == nil
}

// shapeOfStruct compares an object with a struct, field by field.
func (i *inspector) shapeOfStruct(path string, t reflect.Type, v any) (any, bool) {
	object, ok := v.(map[string]any)
	if !ok {
		i.wrongKind(path, t, v)
		return v, false
	}
	fields := jsonFields(t)
	for _, name := range sortedKeys(object) {
		at := joinField(path, name)
		index, known := fields[name]
		if !known {
			i.add(at, "the field is unknown", "write one of "+strings.Join(sortedKeys(fields), ", "))
			delete(object, name)
			continue
		}
		if object[name], ok = i.shape(at, t.Field(index).Type, object[name]); !ok {
			delete(object, name)
		}
	}
	return object, true
}

// shapeOfSlice compares a list with a slice. A null stands for an empty list.
func (i *inspector) shapeOfSlice(path string, t reflect.Type, v any) (any, bool) {
	if v == nil {
		return nil, true
	}
	list, ok := v.([]any)
	if !ok {
		i.wrongKind(path, t, v)
		return v, false
	}
	for n := range list {
		if list[n], ok = i.shape(fmt.Sprintf("%s[%d]", path, n), t.Elem(), list[n]); !ok {
			list[n] = nil
		}
	}
	return list, true
}

// wrongKind records that v is not of the JSON kind that t needs.
func (i *inspector) wrongKind(path string, t reflect.Type, v any) {
	if path == "" {
		path = "(document)"
	}
	i.add(path, describe(v)+" stands there", "write "+kindOf(t))
}

// fitsScalar reports whether v can become a string, boolean or number of type
// t.
func fitsScalar(t reflect.Type, v any) bool {
	n, isNumber := v.(json.Number)
	var err error
	switch t.Kind() {
	case reflect.String:
		_, ok := v.(string)
		return ok
	case reflect.Bool:
		_, ok := v.(bool)
		return ok
	case reflect.Int, reflect.Int64:
		_, err = strconv.ParseInt(n.String(), 10, t.Bits())
	case reflect.Uint32, reflect.Uint64:
		_, err = strconv.ParseUint(n.String(), 10, t.Bits())
	case reflect.Float64:
		_, err = strconv.ParseFloat(n.String(), t.Bits())
	default:
		return false
	}
	return isNumber && err == nil
}

// kindOf names the JSON value that a type needs.
func kindOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// describe names the JSON value v.
func describe(v any) string {
	switch v := v.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return "the number " + v.String()
	default:
		return "something else"
	}
}

// fieldsByType remembers the result of jsonFields for each type.
var fieldsByType sync.Map

// jsonFields returns the index of each field of a struct by its JSON name.
func jsonFields(t reflect.Type) map[string]int {
	if known, ok := fieldsByType.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for n := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(n).Tag.Get("json"), ",")
		fields[name] = n
	}
	fieldsByType.Store(t, fields)
	return fields
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// encodeNode is the reverse of decodeTree.
func encodeNode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Decoded JSON always encodes.
		panic(err)
	}
	return b
}
