package configurer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Bounds of exceptions. The list is meant to be short enough to read.
const (
	MaxExceptions  = 100
	MaxReasonBytes = 1024
)

// Exception overrides one default, with a written reason.
type Exception struct {
	// Name identifies the exception.
	Name string `json:"name"`
	// Path is the overridden field, as in
	// "customers/foodbank/requestsPerSecond" or "limits/bodyBytes".
	Path string `json:"path"`
	// Value is what stands there instead.
	Value json.RawMessage `json:"value"`
	// Reason says why, in the operator's words.
	Reason string `json:"reason"`
	// Ends is when the exception lapses, in RFC 3339; empty means never.
	Ends string `json:"ends,omitempty"`
}

// EndsAt returns when e lapses, or false where it never does.
func (e *Exception) EndsAt() (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, e.Ends)
	return t, err == nil
}

// IsActive reports whether e has not lapsed.
func (e *Exception) IsActive(now time.Time) bool {
	ends, ok := e.EndsAt()
	return !ok || now.Before(ends)
}

// Effective returns the defaults with every exception applied that has not
// lapsed. The result shares nothing that changes with f.
func (f *Fleet) Effective(now time.Time) (*Defaults, error) {
	d := f.Defaults.clone()
	for i := range f.Exceptions {
		e := &f.Exceptions[i]
		if !e.IsActive(now) {
			continue
		}
		if err := e.apply(d); err != nil {
			return nil, fmt.Errorf("exception %q: %w", e.Name, err)
		}
	}
	return d, nil
}

// NextEnd returns when the first exception after now lapses, or false where
// none does. Effective gives the same result until then.
func (f *Fleet) NextEnd(now time.Time) (time.Time, bool) {
	var next time.Time
	for i := range f.Exceptions {
		ends, ok := f.Exceptions[i].EndsAt()
		if ok && now.Before(ends) && (next.IsZero() || ends.Before(next)) {
			next = ends
		}
	}
	return next, !next.IsZero()
}

// clone returns a copy of d whose lists can be changed.
func (d *Defaults) clone() *Defaults {
	c := *d
	c.Services = slices.Clone(d.Services)
	c.BackendServers = slices.Clone(d.BackendServers)
	c.Customers = slices.Clone(d.Customers)
	return &c
}

// apply writes the value of e into d.
func (e *Exception) apply(d *Defaults) error {
	t, err := e.resolve(d)
	if err != nil {
		return err
	}
	// A fresh value, so that a list is replaced and not written into.
	v := reflect.New(t.field.Type())
	if err := json.Unmarshal(e.Value, v.Interface()); err != nil {
		return fmt.Errorf("the value does not fit %s: write what the field itself takes", e.Path)
	}
	t.field.Set(v.Elem())
	return nil
}

// target is the field that the path of an exception leads to.
type target struct {
	// element is the struct that holds the field.
	element reflect.Value
	field   reflect.Value
}

// resolve returns the field of d that the path of e leads to.
func (e *Exception) resolve(d *Defaults) (target, error) {
	parts := strings.Split(e.Path, "/")
	defaults := reflect.ValueOf(d).Elem()
	element, ok := fieldNamed(defaults, parts[0])
	if !ok {
		return target{}, fmt.Errorf("%q is no part of the defaults: write one of %s",
			parts[0], strings.Join(sortedKeys(jsonFields(defaults.Type())), ", "))
	}
	rest := parts[1:]
	if element.Kind() == reflect.Slice && len(rest) > 0 {
		if element, ok = elementNamed(element, rest[0]); !ok {
			return target{}, fmt.Errorf("%q is not in defaults.%s: add it there or correct the name", rest[0], parts[0])
		}
		rest = rest[1:]
	}
	if element.Kind() != reflect.Struct || len(rest) != 1 {
		return target{}, fmt.Errorf("the path %q does not lead to one field: write it as in customers/NAME/weight or limits/bodyBytes", e.Path)
	}
	field, ok := fieldNamed(element, rest[0])
	if !ok || rest[0] == "name" {
		return target{}, fmt.Errorf("%q cannot be overridden: write one of %s", rest[0], strings.Join(overridable(element.Type()), ", "))
	}
	return target{element: element, field: field}, nil
}

// fieldNamed returns the field of a struct with that JSON name.
func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	i, ok := jsonFields(v.Type())[name]
	if !ok {
		return reflect.Value{}, false
	}
	return v.Field(i), true
}

// elementNamed returns the element of a slice with that name.
func elementNamed(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if n, ok := fieldNamed(list.Index(i), "name"); ok && n.String() == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}

// overridable returns the fields of a struct that an exception may override.
func overridable(t reflect.Type) []string {
	return slices.DeleteFunc(sortedKeys(jsonFields(t)), func(name string) bool { return name == "name" })
}
