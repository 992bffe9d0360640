package configurer

import (
	"encoding/json"
	"reflect"
	"slices"
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

// covers reports whether a fault is recorded at path or at what holds it.
func (i *inspector) covers(path string) bool {
	return slices.ContainsFunc(i.faults, func(f Fault) bool {
		rest, ok := strings.CutPrefix(path, f.Path)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// inspectable is a document that knows its own faults.
type inspectable interface{ inspect(in *inspector) }

// decodeStrict decodes one JSON object into v and records every fault: unknown
// and repeated fields, values of a wrong kind, and what v itself finds in the
// rest.
func decodeStrict(document string, b []byte, v inspectable) error {
	var in inspector
	tree, err := decodeTree(&in, b)
	if err != nil {
		return &FaultsError{Document: document, Faults: []Fault{syntaxFault(b, err)}}
	}
	tree, ok := in.shape("", reflect.TypeOf(v).Elem(), tree)
	if !ok {
		return in.err(document)
	}
	if err := json.Unmarshal(encodeNode(tree), v); err != nil {
		in.add("(document)", err.Error(), "correct the value")
	}
	var own inspector
	v.inspect(&own)
	for _, f := range own.faults {
		if !in.covers(f.Path) {
			in.faults = append(in.faults, f)
		}
	}
	return in.err(document)
}
