package configurer

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// Path locates the error in the document, as in
	// "defaults.services[0].name".
	Path string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to write instead.
	Remedy string
}

// String returns the fault on one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem + ": " + f.Remedy }

// FaultsError lists all faults of one document.
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

// faultCollector collects faults while a document is validated. Its zero value
// is ready to use.
type faultCollector struct{ faults []Fault }

// add records a fault.
func (fc *faultCollector) add(path, problem, remedy string) {
	fc.faults = append(fc.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

// addError records err, unless it is nil. The text of err holds the problem and
// the remedy, separated by ": ".
func (fc *faultCollector) addError(path string, err error) {
	if err == nil {
		return
	}
	problem, remedy, _ := strings.Cut(err.Error(), ": ")
	fc.add(path, problem, remedy)
}

// err returns the recorded faults as a *FaultsError, or nil if there are none.
func (fc *faultCollector) err(document string) error {
	if len(fc.faults) == 0 {
		return nil
	}
	return &FaultsError{Document: document, Faults: fc.faults}
}

// covers reports whether a fault is recorded at path or at an object or list
// that contains path.
func (fc *faultCollector) covers(path string) bool {
	return slices.ContainsFunc(fc.faults, func(f Fault) bool {
		rest, ok := strings.CutPrefix(path, f.Path)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// validatable is a document that records its own faults.
type validatable interface{ validate(fc *faultCollector) }

// decodeStrict decodes one JSON object into v and validates it. It returns a
// *FaultsError with every fault: unknown and repeated fields, values of a wrong
// type, and the faults that v records. A fault of v at a path that a fault of
// the first two kinds covers is left out, since it only follows from that one.
func decodeStrict(document string, b []byte, v validatable) error {
	var fc faultCollector
	tree, err := decodeTree(&fc, b)
	if err != nil {
		return &FaultsError{Document: document, Faults: []Fault{syntaxFault(b, err)}}
	}
	tree, ok := fc.matchType("", reflect.TypeOf(v).Elem(), tree)
	if !ok {
		return fc.err(document)
	}
	if err := json.Unmarshal(encodeNode(tree), v); err != nil {
		fc.add("(document)", err.Error(), "correct the value")
	}
	var recorded faultCollector
	v.validate(&recorded)
	for _, f := range recorded.faults {
		if !fc.covers(f.Path) {
			fc.faults = append(fc.faults, f)
		}
	}
	return fc.err(document)
}
