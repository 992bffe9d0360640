package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// exceptionsField is the name of the list of exceptions in the document.
const exceptionsField = "exceptions"

// AddException returns the fleet document with one more exception. It works on
// the JSON, so that fields that this version does not know stay as they are.
// The result is not checked.
func AddException(document, exception []byte) ([]byte, error) {
	name, err := nameOf(exception)
	if err != nil {
		return nil, err
	}
	return editExceptions(document, func(list []json.RawMessage) ([]json.RawMessage, error) {
		if indexNamed(list, name) >= 0 {
			return nil, fmt.Errorf("exception %q is there already: remove it first, or choose another name", name)
		}
		return append(list, exception), nil
	})
}

// RemoveException returns the fleet document without the exception of that
// name.
func RemoveException(document []byte, name string) ([]byte, error) {
	return editExceptions(document, func(list []json.RawMessage) ([]json.RawMessage, error) {
		i := indexNamed(list, name)
		if i < 0 {
			return nil, fmt.Errorf("there is no exception %q: see 'cyclamenctl exceptions list'", name)
		}
		return slices.Delete(list, i, i+1), nil
	})
}

// editExceptions replaces the list of exceptions in the document.
func editExceptions(document []byte, edit func([]json.RawMessage) ([]json.RawMessage, error)) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(document, &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("there is no fleet document to edit: put one there with 'cyclamenctl config set'")
	}
	var list []json.RawMessage
	if b, ok := fields[exceptionsField]; ok {
		if err := json.Unmarshal(b, &list); err != nil {
			return nil, fmt.Errorf("the document's exceptions are no list: replace the document with 'cyclamenctl config set'")
		}
	}
	list, err := edit(list)
	if err != nil {
		return nil, err
	}
	if fields[exceptionsField], err = json.Marshal(list); err != nil {
		return nil, fmt.Errorf("the exception is no JSON: %w", err)
	}
	return json.Marshal(fields)
}

// nameOf returns the name of an exception in JSON.
func nameOf(exception []byte) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(exception, &named); err != nil || named.Name == "" {
		return "", fmt.Errorf("the exception is no JSON object with a name: write one")
	}
	return named.Name, nil
}

// indexNamed returns the index of the exception of that name, or -1.
func indexNamed(list []json.RawMessage, name string) int {
	return slices.IndexFunc(list, func(b json.RawMessage) bool {
		n, err := nameOf(b)
		return err == nil && n == name
	})
}
