package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

func TestUpstreams(t *testing.T) {
	hosts := []configurer.HostAddress{
		{Name: "a1", FailureDomain: "a", Address: "a1:1"},
		{Name: "a2", FailureDomain: "a", Address: "a2:1"},
		{Name: "a3", FailureDomain: "a", Address: "a3:1"},
		{Name: "b1", FailureDomain: "b", Address: "b1:1"},
	}
	keepers := []identifier.Host{"a2", "b1"}
	for _, c := range []struct {
		self identifier.Host
		want []string
	}{
		// A keeper watches the other keepers first, then the hosts of its
		// failure domain.
		{"a2", []string{"b1:1", "a1:1", "a3:1"}},
		// The relay of a failure domain watches the keepers first.
		{"a1", []string{"a2:1", "b1:1", "a3:1"}},
		// The other hosts of the failure domain watch the relay first.
		{"a3", []string{"a1:1", "a2:1", "b1:1"}},
		{"b1", []string{"a2:1"}},
	} {
		h := hosts[0]
		for _, o := range hosts {
			if o.Name == c.self {
				h = o
			}
		}
		cfg := &configurer.Settings{Host: h.Name, FailureDomain: h.FailureDomain, Hosts: hosts, Keepers: keepers}
		got := upstreamsOf(cfg)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("upstreams of %s differ (-want +got):\n%s", c.self, diff)
		}
	}
}
