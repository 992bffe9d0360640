package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cyclamenhub.org/identifier"
)

// validateExceptions records the faults of the exceptions, and the faults that
// applying them causes in the defaults.
func (f *Fleet) validateExceptions(fc *faultCollector) {
	if len(f.Exceptions) > MaxExceptions {
		fc.add("exceptions", fmt.Sprintf("%d exceptions are listed", len(f.Exceptions)),
			fmt.Sprintf("keep at most %d: turn the lasting ones into defaults", MaxExceptions))
		return
	}
	validateList(fc, "exceptions", f.Exceptions, func(e *Exception) string { return e.Name },
		func(e *Exception, at string) { e.validate(fc, at) })
	f.validateUniquePaths(fc)
	f.validateAppliedStates(fc)
}

// validate records the faults of e that do not depend on the defaults.
func (e *Exception) validate(fc *faultCollector, path string) {
	fc.addError(path+".name", checkExceptionName(e.Name))
	if strings.TrimSpace(e.Reason) == "" {
		fc.add(path+".reason", "is missing", "write why the exception is made")
	}
	if len(e.Reason) > MaxReasonBytes {
		fc.add(path+".reason", "is too long", fmt.Sprintf("shorten it to %d bytes", MaxReasonBytes))
	}
	if _, ok := e.EndsAt(); !ok && e.Ends != "" {
		fc.add(path+".ends", fmt.Sprintf("%q is no time", e.Ends), `write it as in "2026-12-31T23:59:00Z", or leave it out`)
	}
}

// checkExceptionName returns an error unless name can be a segment of a URL
// path.
func checkExceptionName(name string) error {
	if identifier.Service(name).Check() == nil {
		return nil
	}
	return fmt.Errorf("%.80q is no name: write 1 to %d letters, digits, '-', '_' or '.'", name, identifier.MaxNameBytes)
}

// validateUniquePaths records a fault for each exception that overrides the same
// field as an earlier one. With two exceptions for one field, their order would
// decide which one applies, and the other would apply again after that one expires.
func (f *Fleet) validateUniquePaths(fc *faultCollector) {
	first := make(map[string]string)
	for i, e := range f.Exceptions {
		if name, ok := first[e.Path]; ok {
			fc.add(fmt.Sprintf("exceptions[%d].path", i), fmt.Sprintf("exception %q overrides %s already", name, e.Path),
				"change or remove that one")
			continue
		}
		first[e.Path] = e.Name
	}
}

// validateAppliedStates applies the exceptions one at a time, from the latest
// end to the earliest, and validates the overridden element after each. These
// are all the states that the defaults pass through as exceptions expire.
func (f *Fleet) validateAppliedStates(fc *faultCollector) {
	d := f.Defaults.clone()
	for _, i := range f.byEnd() {
		e := &f.Exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		t, err := e.resolve(d)
		if err != nil {
			fc.addError(path+".path", err)
			continue
		}
		tree, err := decodeTree(fc, e.Value)
		if err != nil {
			fc.add(path+".value", "is missing", "write what the field itself takes")
			continue
		}
		if _, ok := fc.matchType(path+".value", t.field.Type(), tree); !ok {
			continue
		}
		before := validateElement(t, d)
		fc.addError(path+".value", e.apply(d))
		for _, fault := range validateElement(t, d) {
			if !slices.Contains(before, fault) {
				fc.add(path+".value", fmt.Sprintf("makes %s wrong (%s)", e.Path, fault.Problem), fault.Remedy)
			}
		}
	}
}

// byEnd returns the indexes of the exceptions: first those that never expire,
// then the others from the latest end to the earliest.
func (f *Fleet) byEnd() []int {
	order := make([]int, len(f.Exceptions))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		endA, endsA := f.Exceptions[a].EndsAt()
		endB, endsB := f.Exceptions[b].EndsAt()
		if endsA && endsB {
			return endB.Compare(endA)
		}
		return cmp.Compare(boolToInt(endsA), boolToInt(endsB))
	})
	return order
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// validateElement returns the faults of the element of d that contains the field
// t, and of the fields whose validity depends on that element.
func validateElement(t target, d *Defaults) []Fault {
	var fc faultCollector
	switch element := t.element.Addr().Interface().(type) {
	case *Service:
		element.validate(&fc, "")
		d.validateClaimHorizon(&fc, "limits.claimHorizon")
	case *BackendServer:
		element.validate(&fc, "", d)
	case *Customer:
		element.validate(&fc, "")
		d.validateKeys(&fc, "customers")
	case *Limits:
		element.validate(&fc, "")
		d.validateClaimHorizon(&fc, "limits.claimHorizon")
	}
	return fc.faults
}
