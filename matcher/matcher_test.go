package matcher

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// sample returns a document without faults.
func sample() *Document {
	return &Document{
		Services: []Service{{Name: "model"}, {Name: "cases"}},
		Routes: []Route{
			{Name: "all", Host: "app.example", Prefix: "/", Kind: Idempotent, Timeout: 1, Split: []Destination{{"cases", 1}}},
			{Name: "drafts", Host: "app.example", Prefix: "/drafts/", Kind: Streaming, Timeout: 1, Split: []Destination{{"model", 3}, {"cases", 1}}},
		},
		Customers: []Customer{{Name: "foodbank", Keys: []string{"k1", "k2"}}, {Name: "choir", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(7, sample())
	for _, tc := range []struct {
		host, path string
		want       identifier.Route
	}{
		{"app.example", "/drafts/7", "drafts"},
		{"APP.example:8080", "/drafts/", "drafts"},
		{"app.example", "/drafts", "all"},
		{"other.example", "/drafts/7", ""},
	} {
		var got identifier.Route
		if r, ok := table.Route(tc.host, tc.path); ok {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s goes to %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r, _ := NewTable(1, sample()).Route("app.example", "/drafts/7")
	got := make(map[identifier.Service]int)
	const n = 4000
	for i := range uint64(n) {
		got[r.Service((2*i+1)*((1<<64-1)/(2*n)))]++
	}
	if diff := cmp.Diff(map[identifier.Service]int{"model": 3000, "cases": 1000}, got); diff != "" {
		t.Errorf("split differs (-want +got):\n%s", diff)
	}
}

func TestCheckRefusesContradictions(t *testing.T) {
	if err := sample().Check(); err != nil {
		t.Fatalf("a sound document is refused: %v", err)
	}
	for _, tc := range []struct {
		name  string
		spoil func(*Document)
		want  string
	}{
		{"unknown service", func(d *Document) { d.Routes[0].Split[0].Service = "lost" }, `the service "lost" is unknown`},
		{"same place", func(d *Document) { d.Routes[1].Prefix = "/" }, "two routes stand"},
		{"no weight", func(d *Document) { d.Routes[0].Split[0].Weight = 0 }, "add up to 0"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "timeout"},
		{"shared key", func(d *Document) { d.Customers[1].Keys[0] = "k1" }, "hold one key"},
		{"no slash", func(d *Document) { d.Routes[1].Prefix = "/drafts" }, "slash"},
		{"no split", func(d *Document) { d.Routes[1].Split = nil }, "add up to 0"},
		{"unknown kind", func(d *Document) { d.Routes[1].Kind = "other" }, "kind"},
	} {
		d := sample()
		tc.spoil(d)
		if err := d.Check(); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v does not hold %q", tc.name, err, tc.want)
		}
	}
}
