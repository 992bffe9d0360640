package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// exceptionsField is the JSON name of the list of exceptions.
const exceptionsField = "exceptions"

// AddException returns document with exception appended. It edits the JSON
// rather than a Fleet, so that fields that this version does not know are kept.
// It does not validate the result. It returns an error if the exception has no
// name, or one that the document already uses.
func AddException(document, exception []byte) ([]byte, error) {
	name, err := exceptionName(exception)
	if err != nil {
		return nil, err
	}
	return editExceptions(document, func(list []json.RawMessage) ([]json.RawMessage, error) {
		if indexByName(list, name) >= 0 {
			return nil, fmt.Errorf("exception %q is there already: remove it first, or choose another name", name)
		}
		return append(list, exception), nil
	})
}

// RemoveException returns document without the exception of that name, or an
// error if there is none.
func RemoveException(document []byte, name string) ([]byte, error) {
	return editExceptions(document, func(list []json.RawMessage) ([]json.RawMessage, error) {
		i := indexByName(list, name)
		if i < 0 {
			return nil, fmt.Errorf("there is no exception %q: see 'cyclamenctl exceptions list'", name)
		}
		return slices.Delete(list, i, i+1), nil
	})
}

// editExceptions returns document with its list of exceptions replaced by the
// result of edit.
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

// exceptionName returns the name of a JSON-encoded exception.
func exceptionName(exception []byte) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(exception, &named); err != nil || named.Name == "" {
		return "", fmt.Errorf("the exception is no JSON object with a name: write one")
	}
	return named.Name, nil
}

// indexByName returns the index of the exception of that name, or -1.
func indexByName(list []json.RawMessage, name string) int {
	return slices.IndexFunc(list, func(b json.RawMessage) bool {
		n, err := exceptionName(b)
		return err == nil && n == name
	})
}
