package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// eventScanner reads server-sent events from a stream.
type eventScanner struct {
	scan *bufio.Scanner
	id   int
	data string
	err  error
}

func newEventScanner(r io.Reader) *eventScanner { return &eventScanner{scan: bufio.NewScanner(r)} }

// next reads the next event. It reports false at the end of the stream or on an
// error.
func (e *eventScanner) next() bool {
	e.data = ""
	for e.scan.Scan() {
		line := e.scan.Text()
		switch {
		case line == "" && e.data != "":
			return true
		case line == "event: error":
			e.err = fmt.Errorf("the stream ended with a refusal")
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
	if err := e.scan.Err(); err != nil {
		e.err = err
	}
	return false
}

// text returns the text in the completion event, empty if it has none.
func (e *eventScanner) text() string {
	var c struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(e.data), &c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Text
}
