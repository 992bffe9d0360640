package forwarder

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// endlessReader returns the same byte without end.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// TestBodyBudget checks bodies of several sizes. One that is too large by itself is
// the server's fault, also where the budget would end a little later.
func TestBodyBudget(t *testing.T) {
	for _, tc := range []struct {
		name string
		body io.Reader
		size int // of a body that is returned
		err  error
	}{
		{"empty", bytes.NewReader(nil), 0, nil},
		{"small", io.LimitReader(endlessReader{}, 100), 100, nil},
		{"first part", io.LimitReader(endlessReader{}, smallBodyBytes), smallBodyBytes, nil},
		{"a byte more", io.LimitReader(endlessReader{}, smallBodyBytes+1), smallBodyBytes + 1, nil},
		{"largest", io.LimitReader(endlessReader{}, maxResponseBytes), maxResponseBytes, nil},
		{"too large", io.LimitReader(endlessReader{}, maxResponseBytes+1), 0, errBodyTooLarge},
		{"endless", endlessReader{}, 0, errBodyTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b bodyBudget
			body, taken, err := b.read(tc.body)
			if len(body) != tc.size || !errors.Is(err, tc.err) {
				t.Errorf("%d bytes and error %v, want %d and %v", len(body), err, tc.size, tc.err)
			}
			b.release(taken)
			if left := b.held.Load(); left != 0 {
				t.Errorf("%d bytes are held after the release", left)
			}
		})
	}
}
