package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the place in the document, as in "defaults.services[0].name".
	Path string
	// Problem says what is wrong there.
	Problem string
	// Remedy says what to write instead.
	Remedy string
}

// String returns the fault on one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem + ": " + f.Remedy }

// FaultsError lists everything wrong with one document.
type FaultsError struct {
	// Document is the file or document name.
	Document string
	Faults   []Fault
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.Document + ": " + f.String()
	}
	return strings.Join(lines, "\n")
}

// inspector collects faults while a document is walked. Its zero value is
// ready to use.
type inspector struct{ faults []Fault }

// add records a fault.
func (i *inspector) add(path, problem, remedy string) {
	i.faults = append(i.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

// check records err, whose text already holds the remedy.
func (i *inspector) check(path string, err error) {
	if err == nil {
		return
	}
	problem, remedy, _ := strings.Cut(err.Error(), ": ")
	i.add(path, problem, remedy)
}

// err returns all that was recorded, or nil.
func (i *inspector) err(document string) error {
	if len(i.faults) == 0 {
		return nil
	}
	return &FaultsError{Document: document, Faults: i.faults}
}

// decodeStrict decodes one JSON value into v and refuses unknown fields and
// trailing data.
func decodeStrict(document string, b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &FaultsError{Document: document, Faults: []Fault{decodeFault(b, err)}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &FaultsError{Document: document, Faults: []Fault{{
			Path: "(end)", Problem: "more data follows the document", Remedy: "keep one JSON object in it",
		}}}
	}
	return nil
}

// decodeFault turns an error of encoding/json into a fault.
func decodeFault(b []byte, err error) Fault {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(b[:min(int(syntax.Offset), len(b))], []byte("\n"))
		return Fault{Path: fmt.Sprintf("line %d", line), Problem: syntax.Error(), Remedy: "write valid JSON there"}
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return Fault{Path: wrong.Field, Problem: "a JSON " + wrong.Value + " stands there", Remedy: "write a " + wrong.Type.String()}
	}
	return Fault{Path: "(document)", Problem: err.Error(), Remedy: "correct or remove the field"}
}
