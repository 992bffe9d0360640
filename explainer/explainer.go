// Package explainer merges the log lines of one call from several processes in
// order of time, together with the state on which the hosts based their
// decisions.
//
// It reads structured logs with one JSON object per line and ignores any prefix
// before the object. It prints the lines that carry the id of the call. Before
// the first such line of each host it prints the host's latest state messages:
// the document in force, the leading keeper, its readiness and the backend
// servers.
//
// # Usage
//
//	var e explainer.Explainer
//	e.Read(file) // for each log
//	err := e.Explain(os.Stdout, "9c41d07be2a35f68")
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// stateMessages are the log messages that report the state of a host. Explain
// prints the last occurrence of each before a call.
var stateMessages = []string{
	"started", "document in force", "leading keeper found", "leading keeper lost", "readiness changed",
	"isolations changed", "backend servers changed", "list of backend servers cannot be read, the last reading stands", "stopping",
}

// Keys of the fields that are printed first or omitted.
const (
	keyTime, keyLevel, keyMessage, keyHost, keyID = "time", "level", "msg", "host", "id"
)

// logLine is a decoded line of a log.
type logLine struct {
	at      time.Time
	host    string
	message string
	fields  map[string]any
	// isState is true if the line is printed because it reports the host's
	// state.
	isState bool
}

// Explainer holds the lines of all logs read. The zero value is empty and ready
// to use.
type Explainer struct{ lines []logLine }

// Read adds the lines of a log. It skips lines without a JSON object, a message
// or a valid time. It returns an error if reading fails or a line exceeds
// maxLineBytes.
func (e *Explainer) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := decode(s.Bytes()); ok {
			e.lines = append(e.lines, l)
		}
	}
	return s.Err()
}

// decode decodes a line and reports whether it is valid.
func decode(b []byte) (logLine, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil {
		return logLine{}, false
	}
	l := logLine{fields: fields, host: stringOf(fields[keyHost]), message: stringOf(fields[keyMessage])}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields[keyTime]))
	l.at = at
	return l, err == nil && l.message != ""
}

// stringOf returns v if it is a string, and an empty string otherwise.
func stringOf(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// NotFoundError reports that no log contains a line of the call.
type NotFoundError struct{ ID string }

// Error returns a message with the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line has the id %q: give the logs of all entry hosts, or the id of another attempt of the caller", e.ID)
}

// Explain writes the lines of the call with the given id and the preceding
// state of each host to w. It returns a *NotFoundError if there is no such
// line, or the error of w.
func (e *Explainer) Explain(w io.Writer, id string) error {
	slices.SortStableFunc(e.lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	var shown []logLine
	seen := make(map[string]bool)
	last := make(map[string]map[string]logLine) // by host and message
	for _, l := range e.lines {
		if slices.Contains(stateMessages, l.message) {
			if last[l.host] == nil {
				last[l.host] = make(map[string]logLine)
			}
			l.isState = true
			last[l.host][l.message] = l
			continue
		}
		if stringOf(l.fields[keyID]) != id {
			continue
		}
		if !seen[l.host] {
			seen[l.host] = true
			shown = append(shown, sortedByTime(last[l.host])...)
		}
		shown = append(shown, l)
	}
	if len(shown) == 0 {
		return &NotFoundError{ID: id}
	}
	for _, l := range shown {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

// sortedByTime returns lines in order of time.
func sortedByTime(lines map[string]logLine) []logLine {
	return slices.SortedFunc(maps.Values(lines), func(a, b logLine) int { return a.at.Compare(b.at) })
}

// String formats the line: a mark ("*" for a line of the call, a space for a
// state message), the time, the host, the message and the other fields.
func (l logLine) String() string {
	var b strings.Builder
	mark := "*"
	if l.isState {
		mark = " "
	}
	fmt.Fprintf(&b, "%s %s %s %s", mark, l.at.UTC().Format("15:04:05.000"), l.host, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case keyTime, keyLevel, keyMessage, keyHost, keyID:
			continue
		}
		fmt.Fprintf(&b, " %s=%s", name, formatValue(name, l.fields[name]))
	}
	return b.String()
}

// durationFields are the fields that contain nanoseconds.
var durationFields = []string{"took", "after", "wait", "age"}

// formatValue formats the value of a field.
func formatValue(name string, v any) string {
	if ns, ok := v.(float64); ok && slices.Contains(durationFields, name) {
		return time.Duration(ns).Round(100 * time.Microsecond).String()
	}
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return "?" // Not reached: a value decoded from JSON can be encoded.
	}
	return strings.TrimSpace(b.String())
}
