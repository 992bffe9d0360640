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

// unmarshaler is the interface of types with their own JSON decoding.
var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// rawMessage is the type of values whose decoding is deferred.
var rawMessage = reflect.TypeFor[json.RawMessage]()

// matchType compares the decoded value v with the type t that it is to become.
// It records every unknown field and every value of a wrong type, and returns v
// without them. The second result is false if v itself is of a wrong type.
func (fc *faultCollector) matchType(path string, t reflect.Type, v any) (any, bool) {
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return v, fc.matchUnmarshaler(path, t, v)
	}
	switch t.Kind() {
	case reflect.Struct:
		return fc.matchStruct(path, t, v)
	case reflect.Slice:
		return fc.matchSlice(path, t, v)
	default:
		ok := fitsScalar(t, v)
		if !ok {
			fc.addWrongKind(path, t, v)
		}
		return v, ok
	}
}

// matchUnmarshaler reports whether the type's UnmarshalJSON accepts v, and
// records its error if not.
func (fc *faultCollector) matchUnmarshaler(path string, t reflect.Type, v any) bool {
	if t == rawMessage {
		return true
	}
	err := json.Unmarshal(encodeNode(v), reflect.New(t).Interface())
	fc.addError(path, err)
	return err == nil
}

// matchStruct compares an object with a struct type, field by field.
func (fc *faultCollector) matchStruct(path string, t reflect.Type, v any) (any, bool) {
	object, ok := v.(map[string]any)
	if !ok {
		fc.addWrongKind(path, t, v)
		return v, false
	}
	fields := jsonFields(t)
	for _, name := range sortedKeys(object) {
		at := joinField(path, name)
		index, known := fields[name]
		if !known {
			fc.add(at, "the field is unknown", "write one of "+strings.Join(sortedKeys(fields), ", "))
			delete(object, name)
			continue
		}
		if object[name], ok = fc.matchType(at, t.Field(index).Type, object[name]); !ok {
			delete(object, name)
		}
	}
	return object, true
}

// matchSlice compares a list with a slice type. It accepts null as an empty
// list.
func (fc *faultCollector) matchSlice(path string, t reflect.Type, v any) (any, bool) {
	if v == nil {
		return nil, true
	}
	list, ok := v.([]any)
	if !ok {
		fc.addWrongKind(path, t, v)
		return v, false
	}
	for n := range list {
		if list[n], ok = fc.matchType(fmt.Sprintf("%s[%d]", path, n), t.Elem(), list[n]); !ok {
			list[n] = nil
		}
	}
	return list, true
}

// addWrongKind records that v is not of the JSON type that t needs.
func (fc *faultCollector) addWrongKind(path string, t reflect.Type, v any) {
	if path == "" {
		path = "(document)"
	}
	fc.add(path, describeValue(v)+" stands there", "write "+jsonKind(t))
}

// fitsScalar reports whether v can be converted to t, a string, boolean or number
// type, without overflow.
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

// jsonKind returns a description of the JSON value that a type needs.
func jsonKind(t reflect.Type) string {
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

// describeValue returns a description of the JSON value v.
func describeValue(v any) string {
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

// fieldsByType caches the result of jsonFields for each type.
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

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// encodeNode encodes a value that decodeTree returned.
func encodeNode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// A value that was decoded from JSON can always be encoded.
		panic(err)
	}
	return b
}
