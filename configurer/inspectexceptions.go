package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cyclamenhub.org/identifier"
)

// inspectExceptions records the faults of the exceptions, and what each makes
// wrong in the defaults.
func (f *Fleet) inspectExceptions(in *inspector) {
	if len(f.Exceptions) > MaxExceptions {
		in.add("exceptions", fmt.Sprintf("%d exceptions are listed", len(f.Exceptions)),
			fmt.Sprintf("keep at most %d: turn the lasting ones into defaults", MaxExceptions))
		return
	}
	inspectList(in, "exceptions", f.Exceptions, func(e *Exception) string { return e.Name },
		func(e *Exception, at string) { e.inspect(in, at) })
	f.inspectPaths(in)
	f.inspectStates(in)
}

// inspect records the faults of e that do not depend on the defaults.
func (e *Exception) inspect(in *inspector, path string) {
	in.check(path+".name", checkExceptionName(e.Name))
	if strings.TrimSpace(e.Reason) == "" {
		in.add(path+".reason", "is missing", "write why the exception is made")
	}
	if len(e.Reason) > MaxReasonBytes {
		in.add(path+".reason", "is too long", fmt.Sprintf("shorten it to %d bytes", MaxReasonBytes))
	}
	if _, ok := e.EndsAt(); !ok && e.Ends != "" {
		in.add(path+".ends", fmt.Sprintf("%q is no time", e.Ends), `write it as in "2026-12-31T23:59:00Z", or leave it out`)
	}
}

// checkExceptionName refuses names that could not stand in a URL path.
func checkExceptionName(name string) error {
	if identifier.Service(name).Check() == nil {
		return nil
	}
	return fmt.Errorf("%.80q is no name: write 1 to %d letters, digits, '-', '_' or '.'", name, identifier.MaxNameBytes)
}

// inspectPaths records two exceptions for one field. Their order would decide,
// and the later of two ends would bring the other back.
func (f *Fleet) inspectPaths(in *inspector) {
	first := make(map[string]string)
	for i, e := range f.Exceptions {
		if name, ok := first[e.Path]; ok {
			in.add(fmt.Sprintf("exceptions[%d].path", i), fmt.Sprintf("exception %q overrides %s already", name, e.Path),
				"change or remove that one")
			continue
		}
		first[e.Path] = e.Name
	}
}

// inspectStates applies the exceptions from the last to end to the first, and
// inspects the overridden element after each step. These are all the states
// that the defaults pass through as exceptions lapse.
func (f *Fleet) inspectStates(in *inspector) {
	d := f.Defaults.clone()
	for _, i := range f.byEnd() {
		e := &f.Exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		t, err := e.resolve(d)
		if err != nil {
			in.check(path+".path", err)
			continue
		}
		tree, err := decodeTree(in, e.Value)
		if err != nil {
			in.add(path+".value", "is missing", "write what the field itself takes")
			continue
		}
		if _, ok := in.shape(path+".value", t.field.Type(), tree); !ok {
			continue
		}
		before := inspectElement(t, d)
		in.check(path+".value", e.apply(d))
		for _, fault := range inspectElement(t, d) {
			if !slices.Contains(before, fault) {
				in.add(path+".value", fmt.Sprintf("makes %s wrong (%s)", e.Path, fault.Problem), fault.Remedy)
			}
		}
	}
}

// byEnd returns the indexes of the exceptions, those that never lapse first,
// then from the latest end to the earliest.
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

// boolToInt returns 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// inspectElement returns the faults of the element of d that holds a target.
func inspectElement(t target, d *Defaults) []Fault {
	var in inspector
	switch element := t.element.Addr().Interface().(type) {
	case *Service:
		element.inspect(&in, "")
		d.inspectHorizon(&in, "limits.claimHorizon")
	case *BackendServer:
		element.inspect(&in, "", d)
	case *Customer:
		element.inspect(&in, "")
		d.inspectKeys(&in, "customers")
	case *Limits:
		element.inspect(&in, "")
		d.inspectHorizon(&in, "limits.claimHorizon")
	}
	return in.faults
}
