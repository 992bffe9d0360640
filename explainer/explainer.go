// Package explainer puts the log lines of one call from several processes in
// order, with the state that decided.
//
// It reads structured logs, one JSON object a line, whatever stands before it on
// the line. Lines that carry the id of the call are shown; before the first of
// each host come the last lines there that tell what the host believed: the
// document in force, the leading keeper, its readiness and the backend servers.
//
// # Usage
//
//	var e explainer.Explainer
//	e.Read(file) // each log
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// stateMessages are the messages that tell what a host believes. Of each the
// last one before a call is shown.
var stateMessages = []string{
	"started", "document in force", "leading keeper found", "leading keeper lost", "readiness changed",
	"backend servers changed", "list of backend servers cannot be read, the last reading stands", "stopping",
}

// The keys of a line that are shown in front, or not again.
const (
	keyTime, keyLevel, keyMessage, keyHost, keyID = "time", "level", "msg", "host", "id"
)

// line is one line of a log.
type line struct {
	at      time.Time
	host    string
	message string
	fields  map[string]any
	// state tells that it is shown for what the host believed.
	state bool
}

// Explainer holds the lines of logs. Its zero value is empty.
type Explainer struct{ lines []line }

// Read adds a log. Lines that are no JSON objects are passed over.
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

// decode reads one line.
func decode(b []byte) (line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil {
		return line{}, false
	}
	l := line{fields: fields, host: text(fields[keyHost]), message: text(fields[keyMessage])}
	at, err := time.Parse(time.RFC3339Nano, text(fields[keyTime]))
	l.at = at
	return l, err == nil && l.message != ""
}

// text returns a field as text.
func text(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// NotFoundError tells that no log has a line of a call.
type NotFoundError struct{ ID string }

// Error names the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line has the id %q: give the logs of all entry hosts, or the id of another attempt of the caller", e.ID)
}

// Explain writes the lines of a call and the state that decided.
func (e *Explainer) Explain(w io.Writer, id string) error {
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var shown []line
	seen := make(map[string]bool)
	last := make(map[string]map[string]line) // by host and message
	for _, l := range e.lines {
		if slices.Contains(stateMessages, l.message) {
			if last[l.host] == nil {
				last[l.host] = make(map[string]line)
			}
			l.state = true
			last[l.host][l.message] = l
			continue
		}
		if text(l.fields[keyID]) != id {
			continue
		}
		if !seen[l.host] {
			seen[l.host] = true
			shown = append(shown, ordered(last[l.host])...)
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

// ordered returns lines in the order of their times.
func ordered(lines map[string]line) []line {
	return slices.SortedFunc(maps.Values(lines), func(a, b line) int { return a.at.Compare(b.at) })
}

// String returns the line as it is shown: time, host, message and fields.
func (l line) String() string {
	var b strings.Builder
	mark := "*"
	if l.state {
		mark = " "
	}
	fmt.Fprintf(&b, "%s %s %s %s", mark, l.at.UTC().Format("15:04:05.000"), l.host, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case keyTime, keyLevel, keyMessage, keyHost, keyID:
			continue
		}
		fmt.Fprintf(&b, " %s=%s", name, value(name, l.fields[name]))
	}
	return b.String()
}

// durations are the fields that hold nanoseconds.
var durations = []string{"took", "after", "wait", "age"}

// value returns a field as it is shown.
func value(name string, v any) string {
	if ns, ok := v.(float64); ok && slices.Contains(durations, name) {
		return time.Duration(ns).Round(100 * time.Microsecond).String()
	}
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return "?" // What came out of JSON always goes back.
	}
	return strings.TrimSpace(b.String())
}
