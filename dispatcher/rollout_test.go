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

// TestEvidenceOfAttempts checks that an attempt is evidence against a version
// only for failures of the version itself, not for those of the caller, this
// host or the connection.
func TestEvidenceOfAttempts(t *testing.T) {
	disconnected, cancel := context.WithCancelCause(context.Background())
	cancel(errCallerLeft)
	status := func(n int) *task { return &task{lastAnswer: &Answer{Head: Head{Status: n}}} }
	for _, tt := range []struct {
		name string
		ctx  context.Context
		task *task
		r    result
		want roller.Outcome
	}{
		{"complete stream", nil, &task{}, complete{}, roller.Succeeded},
		{"complete call", nil, status(http.StatusOK), complete{}, roller.Succeeded},
		{"request refused", nil, status(http.StatusUnprocessableEntity), complete{}, roller.Failed},
		{"server error", nil, &task{}, errorStatus{http.StatusInternalServerError}, roller.Failed},
		{"server overloaded", nil, &task{}, errorStatus{http.StatusTooManyRequests}, roller.Withdrawn},
		{"no answer in time", nil, &task{}, lost{err: os.ErrDeadlineExceeded}, roller.Failed},
		{"answer to another attempt", nil, &task{}, lost{err: errCrossed}, roller.Failed},
		{"connection broken", nil, &task{}, lost{err: io.ErrUnexpectedEOF}, roller.Lost},
		{"stream cut off", nil, &task{}, unresumable{errors.New("reset")}, roller.Lost},
		{"no connection", nil, &task{}, unsent{errors.New("refused")}, roller.Unreachable},
		{"moved", nil, &task{}, moved{}, roller.Reclaimed},
		{"caller disconnected", disconnected, &task{}, lost{err: context.Canceled}, roller.Withdrawn},
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
