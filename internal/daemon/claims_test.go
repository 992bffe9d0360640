package daemon

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// TestClaimEndsBeforeDeadline checks that a claim is refused with NoMajority
// long before the deadline of its request if the keepers do not answer.
func TestClaimEndsBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		m := messenger.New(messenger.Options{Host: "a2", DialTimeout: time.Hour, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			dials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		defer m.Close()
		cs := &claims{control: &control{messenger: m, cfg: &configurer.Settings{
			Host: "a2", Keepers: []identifier.Host{"a1"},
			Hosts: []configurer.HostAddress{{Name: "a1", Address: "a1:1"}, {Name: "a2", Address: "a2:1"}},
		}}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		_, err := cs.Propose(ctx, 0, []byte("claim"))
		var f *refuser.Refusal
		if !errors.As(err, &f) || f.Kind() != refuser.NoMajority {
			t.Errorf("got %v, want %s", err, refuser.NoMajority)
		}
		if dials.Load() == 0 || ctx.Err() != nil {
			t.Errorf("%d dials, request context: %v", dials.Load(), ctx.Err())
		}
	})
}
