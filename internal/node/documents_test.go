package node

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"cyclamenhub.org/budgeter"
	"cyclamenhub.org/platform"
)

// TestDocumentsShareABudget guards against a keeper that holds all documents which come at
// once, and checks the answers to those that it does not read.
func TestDocumentsShareABudget(t *testing.T) {
	const memory = 64 << 20
	largest := int64(memory / 16)
	for _, tc := range []struct {
		name   string
		size   int
		held   budgeter.Bytes
		status int // 0 if it is read
	}{
		{"empty", 0, 0, 0},
		{"small", 100, 0, 0},
		{"largest", int(largest), 0, 0},
		{"too large", int(largest) + 1, 0, http.StatusRequestEntityTooLarge},
		{"beside others", int(largest), memory/8 - 1, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDocumentReader(&platform.Settings{MemoryBytes: memory})
			other := d.budget.Open(func(time.Time) error { return nil })
			if err := other.Take(tc.held, false); err != nil {
				t.Fatal(err)
			}
			want := strings.Repeat("x", tc.size)
			w := httptest.NewRecorder()
			got, err := d.read(w, httptest.NewRequest(http.MethodPut, "/", strings.NewReader(want)), largest)
			switch {
			case tc.status == 0 && (err != nil || string(got) != want):
				t.Errorf("%d bytes are read, want %d: %v", len(got), tc.size, err)
			case tc.status != 0 && (err == nil || err.Status != tc.status):
				t.Errorf("the answer is %v, want status %d", err, tc.status)
			}
			if held := d.budget.Counts().Held; tc.status != 0 && held != tc.held {
				t.Errorf("%d bytes are held", held)
			}
		})
	}
}

// TestDocumentCutOff checks the answer to a document that breaks off.
func TestDocumentCutOff(t *testing.T) {
	d := newDocumentReader(&platform.Settings{MemoryBytes: 64 << 20})
	r := httptest.NewRequest(http.MethodPut, "/", iotest.ErrReader(errors.New("cut")))
	if _, err := d.read(httptest.NewRecorder(), r, 100); err == nil || err.Status != http.StatusBadRequest {
		t.Errorf("the answer is %v, want status %d", err, http.StatusBadRequest)
	}
}
