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
	d := &treeDecoder{fc: fc, json: json.NewDecoder(bytes.NewReader(b))}
	d.json.UseNumber()
	return d.decodeNode("")
}

// maxDepth is the largest number of objects and lists in one another. No field is as
// deep, and the paths of all levels take memory with the square of their number.
const maxDepth = 64

// depthError reports that a document exceeds maxDepth.
type depthError struct {
	// offset is the number of bytes up to the level that is too deep.
	offset int64
}

// Error returns the problem.
func (e *depthError) Error() string {
	return fmt.Sprintf("more than %d objects and lists stand in one another", maxDepth)
}

// treeDecoder decodes the values of one document.
type treeDecoder struct {
	fc   *faultCollector
	json *json.Decoder
	// depth is the number of objects and lists that have begun and not ended.
	depth int
}

// decodeNode decodes the value at path.
func (d *treeDecoder) decodeNode(path string) (any, error) {
	t, err := d.json.Token()
	if err != nil {
		return nil, err
	}
	delim, isNested := t.(json.Delim)
	if !isNested {
		return t, nil
	}
	if d.depth++; d.depth > maxDepth {
		return nil, &depthError{d.json.InputOffset()}
	}
	defer func() { d.depth-- }()
	if delim == '{' {
		return d.decodeObject(path)
	}
	return d.decodeList(path)
}

// decodeObject decodes the rest of an object after its opening brace.
func (d *treeDecoder) decodeObject(path string) (any, error) {
	object := make(map[string]any)
	for d.json.More() {
		t, err := d.json.Token()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		at := joinField(path, name)
		if _, twice := object[name]; twice {
			d.fc.add(at, "the field stands there twice", "keep one of them")
		}
		if object[name], err = d.decodeNode(at); err != nil {
			return nil, err
		}
	}
	_, err := d.json.Token()
	return object, err
}

// decodeList decodes the rest of a list after its opening bracket.
func (d *treeDecoder) decodeList(path string) (any, error) {
	list := []any{}
	for d.json.More() {
		v, err := d.decodeNode(fmt.Sprintf("%s[%d]", path, len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := d.json.Token()
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
	var depth *depthError
	switch {
	case errors.As(err, &syntax):
		offset = min(int(syntax.Offset), len(b))
	case errors.As(err, &depth):
		offset = min(int(depth.offset), len(b))
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = errors.New("the document breaks off")
	}
	line := 1 + bytes.Count(b[:offset], []byte("\n"))
	return Fault{Path: fmt.Sprintf("line %d", line), Problem: err.Error(), Remedy: "write one valid JSON object"}
}
