package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// decodeTree decodes b into maps, lists, strings, json.Numbers, booleans and
// nil. Unlike encoding/json it records a fault for a field that an object
// contains twice. It returns an error if b is not one valid JSON value.
func decodeTree(fc *faultCollector, b []byte) (any, error) {
	// This pass detects syntax errors and trailing data, and its errors hold the
	// offset.
	if err := json.Unmarshal(b, new(json.RawMessage)); err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	return decodeNode(fc, d, "")
}

// decodeNode decodes the value at path.
func decodeNode(fc *faultCollector, d *json.Decoder, path string) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		return decodeObject(fc, d, path)
	case json.Delim('['):
		return decodeList(fc, d, path)
	default:
		return t, nil
	}
}

// decodeObject decodes the rest of an object after its opening brace.
func decodeObject(fc *faultCollector, d *json.Decoder, path string) (any, error) {
	object := make(map[string]any)
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		at := joinField(path, name)
		if _, twice := object[name]; twice {
			fc.add(at, "the field stands there twice", "keep one of them")
		}
		if object[name], err = decodeNode(fc, d, at); err != nil {
			return nil, err
		}
	}
	_, err := d.Token()
	return object, err
}

// decodeList decodes the rest of a list after its opening bracket.
func decodeList(fc *faultCollector, d *json.Decoder, path string) (any, error) {
	list := []any{}
	for d.More() {
		v, err := decodeNode(fc, d, fmt.Sprintf("%s[%d]", path, len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := d.Token()
	return list, err
}

// joinField appends a field name to a path in dotted notation.
func joinField(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// syntaxFault returns the fault for a syntax error of encoding/json, with the
// line of the error.
func syntaxFault(b []byte, err error) Fault {
	offset := len(b)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = min(int(syntax.Offset), len(b))
	} else if errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the document breaks off")
	}
	line := 1 + bytes.Count(b[:offset], []byte("\n"))
	return Fault{Path: fmt.Sprintf("line %d", line), Problem: err.Error(), Remedy: "write one valid JSON object"}
}
