package forwarder

import (
	"bytes"
	"log/slog"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLimitChangesAreLogged checks that there is a line for each change of an
// announced limit, and one in all for limits that cannot be read.
func TestLimitChangesAreLogged(t *testing.T) {
	var responses []string
	for _, limit := range []string{"", "1.5", "1.5", "x", "x", "2", ""} {
		header := ""
		if limit != "" {
			header = testLimit + ": " + limit + "\r\n"
		}
		responses = append(responses, sealedResponse(http.StatusOK, header, "done"))
	}
	h := newHarness(t, responses...)
	h.useServers(1)
	var log bytes.Buffer
	h.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	for range responses {
		h.call(t, http.MethodGet, "/look/1", "key", "")
	}
	var got []string
	for line := range strings.Lines(log.String()) {
		if m := regexp.MustCompile(`msg="(request limit of a backend server .*)" id=id-1 server=b0(.*)\n`).FindStringSubmatch(line); m != nil {
			got = append(got, m[1]+m[2])
		}
	}
	want := []string{
		"request limit of a backend server changed before=none perSecond=1.5",
		"request limit of a backend server cannot be read, the known one stands",
		"request limit of a backend server changed before=1.5 perSecond=2",
		"request limit of a backend server changed before=2 perSecond=none",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}
