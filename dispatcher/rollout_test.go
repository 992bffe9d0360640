package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/roller"
)

// What an attempt tells of the version: its own failures, and neither those of
// the caller, of this host nor of the connection.
func TestEvidenceOfAttempts(t *testing.T) {
	left, leave := context.WithCancelCause(context.Background())
	leave(errCallerLeft)
	status := func(n int) *task { return &task{held: &Answer{Head: Head{Status: n}}} }
	for _, tt := range []struct {
		name string
		ctx  context.Context
		task *task
		r    result
		want roller.Outcome
	}{
		{"whole stream", nil, &task{}, whole{}, roller.Succeeded},
		{"whole call", nil, status(http.StatusOK), whole{}, roller.Succeeded},
		{"request refused", nil, status(http.StatusUnprocessableEntity), whole{}, roller.Failed},
		{"server error", nil, &task{}, answered{http.StatusInternalServerError}, roller.Failed},
		{"server full", nil, &task{}, answered{http.StatusTooManyRequests}, roller.Withdrawn},
		{"no answer in time", nil, &task{}, lost{err: os.ErrDeadlineExceeded}, roller.Failed},
		{"another's answer", nil, &task{}, lost{err: errCrossed}, roller.Failed},
		{"connection broken", nil, &task{}, lost{err: io.ErrUnexpectedEOF}, roller.Lost},
		{"stream cut off", nil, &task{}, cutOff{errors.New("reset")}, roller.Lost},
		{"no connection", nil, &task{}, unsent{errors.New("refused")}, roller.Unreachable},
		{"moved away", nil, &task{}, moved{}, roller.Reclaimed},
		{"caller left", left, &task{}, lost{err: context.Canceled}, roller.Withdrawn},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := &attempt{t: tt.task, ctx: context.Background()}
			if tt.ctx != nil {
				a.ctx = tt.ctx
			}
			if diff := cmp.Diff(tt.want, a.evidence(tt.r)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
