package configurer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Limits on exceptions. They keep the list short enough for an operator to read.
const (
	MaxExceptions  = 100
	MaxReasonBytes = 1024
)

// Exception overrides one field of the defaults, with a written reason.
type Exception struct {
	// Name identifies the exception.
	Name string `json:"name"`
	// Path is the path of the overridden field, as in
	// "customers/foodbank/requestsPerSecond" or "limits/bodyBytes".
	Path string `json:"path"`
	// Value is the value that replaces the default.
	Value json.RawMessage `json:"value"`
	// Reason is the operator's explanation.
	Reason string `json:"reason"`
	// Ends is when the exception expires, in RFC 3339; empty means never.
	Ends string `json:"ends,omitempty"`
}

// EndsAt returns when e expires, or false if it never does.
func (e *Exception) EndsAt() (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, e.Ends)
	return t, err == nil
}

// IsActive reports whether e has not expired at now.
func (e *Exception) IsActive(now time.Time) bool {
	ends, ok := e.EndsAt()
	return !ok || now.Before(ends)
}

// Effective returns the defaults with every exception applied that has not
// expired at now. The result has its own lists of services, backend servers and
// customers. Effective returns an error if the path or value of an exception
// does not fit the defaults.
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

// NextEnd returns the time of the next expiry after now, or false if there is
// none. Until then Effective returns the same result.
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

// clone returns a copy of d with its own lists of services, backend servers and
// customers.
func (d *Defaults) clone() *Defaults {
	c := *d
	c.Services = slices.Clone(d.Services)
	c.BackendServers = slices.Clone(d.BackendServers)
	c.Customers = slices.Clone(d.Customers)
	return &c
}

// apply sets the field of d that e overrides to the value of e.
func (e *Exception) apply(d *Defaults) error {
	t, err := e.resolve(d)
	if err != nil {
		return err
	}
	// Decode into a new value: decoding into the field would overwrite the
	// elements of a list that other copies of the defaults share.
	v := reflect.New(t.field.Type())
	if err := json.Unmarshal(e.Value, v.Interface()); err != nil {
		return fmt.Errorf("the value does not fit %s: write what the field itself takes", e.Path)
	}
	t.field.Set(v.Elem())
	return nil
}

// target is the field that an exception overrides.
type target struct {
	// element is the struct that contains field.
	element reflect.Value
	field   reflect.Value
}

// resolve returns the field of d at the path of e.
func (e *Exception) resolve(d *Defaults) (target, error) {
	parts := strings.Split(e.Path, "/")
	defaults := reflect.ValueOf(d).Elem()
	element, ok := fieldByName(defaults, parts[0])
	if !ok {
		return target{}, fmt.Errorf("%q is no part of the defaults: write one of %s",
			parts[0], strings.Join(sortedKeys(jsonFields(defaults.Type())), ", "))
	}
	rest := parts[1:]
	if element.Kind() == reflect.Slice && len(rest) > 0 {
		if element, ok = elementByName(element, rest[0]); !ok {
			return target{}, fmt.Errorf("%q is not in defaults.%s: add it there or correct the name", rest[0], parts[0])
		}
		rest = rest[1:]
	}
	if element.Kind() != reflect.Struct || len(rest) != 1 {
		return target{}, fmt.Errorf("the path %q does not lead to one field: write it as in customers/NAME/weight or limits/bodyBytes", e.Path)
	}
	field, ok := fieldByName(element, rest[0])
	if !ok || rest[0] == "name" {
		return target{}, fmt.Errorf("%q cannot be overridden: write one of %s", rest[0], strings.Join(overridableFields(element.Type()), ", "))
	}
	return target{element: element, field: field}, nil
}

// fieldByName returns the field of the struct v with that JSON name.
func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	i, ok := jsonFields(v.Type())[name]
	if !ok {
		return reflect.Value{}, false
	}
	return v.Field(i), true
}

// elementByName returns the element of the slice list with that name.
func elementByName(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if n, ok := fieldByName(list.Index(i), "name"); ok && n.String() == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}

// overridableFields returns the JSON names of the fields of t that an exception
// may override: all except name.
func overridableFields(t reflect.Type) []string {
	return slices.DeleteFunc(sortedKeys(jsonFields(t)), func(name string) bool { return name == "name" })
}
