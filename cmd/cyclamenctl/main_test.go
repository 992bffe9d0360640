package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"cyclamenhub.org/refuser"
)

func TestExitCodes(t *testing.T) {
	for _, tt := range []struct {
		args []string
		in   string
		want int
	}{
		{[]string{"key", "hash"}, "secret\n", exitOK},
		{[]string{"--help"}, "", exitOK},
		{[]string{"key", "hash"}, "", exitFailed},
		{[]string{"key", "hsah"}, "", exitUsage},
	} {
		var out, errOut bytes.Buffer
		if got := run(tt.args, stdio{in: strings.NewReader(tt.in), out: &out, err: &errOut}); got != tt.want {
			t.Errorf("%v: exit code %d, want %d; %s", tt.args, got, tt.want, &errOut)
		}
	}
	conflict := fmt.Errorf("config set: %w", refuser.NotRun(refuser.Conflict, "stale", "look again"))
	if got := exitCode(conflict); got != exitConflict {
		t.Errorf("conflict: exit code %d, want %d", got, exitConflict)
	}
	if got := exitCode(errors.New("no answer")); got != exitFailed {
		t.Errorf("other failure: exit code %d, want %d", got, exitFailed)
	}
}
