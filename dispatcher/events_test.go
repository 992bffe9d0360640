package dispatcher

import (
	"bufio"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPendingRequiresCompleteEvent(t *testing.T) {
	for name, c := range map[string]struct {
		rest string
		want bool
	}{
		"nothing":          {"", false},
		"blank line":       {"\n", false},
		"id of the next":   {"\nid: 2\n", false},
		"part of an event": {"\nid: 2\ndata: {\"a\"", false},
		"complete event":   {"\nid: 2\ndata: {}\n", true},
	} {
		r := eventReader{br: bufio.NewReader(strings.NewReader("data: 1\n" + c.rest))}
		if _, err := r.next(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, r.pending()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
