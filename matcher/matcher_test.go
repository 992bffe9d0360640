package matcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// testDocument returns a valid document.
func testDocument() *describer.Document {
	return &describer.Document{
		Services: []describer.Service{{Name: "model"}, {Name: "cases"}},
		Routes: []describer.Route{
			{Name: "all", Host: "app.example", Prefix: "/", Kind: describer.Idempotent, Timeout: 1, Split: []describer.Destination{{Service: "cases", Weight: 1}}},
			{Name: "drafts", Host: "app.example", Prefix: "/drafts/", Kind: describer.Streaming, Timeout: 1, Split: []describer.Destination{{Service: "model", Weight: 3}, {Service: "cases", Weight: 1}}},
		},
		Customers: []describer.Customer{{Name: "foodbank", Keys: []string{"k1", "k2"}}, {Name: "choir", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(7, testDocument())
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
	r, _ := NewTable(1, testDocument()).Route("app.example", "/drafts/7")
	got := make(map[identifier.Service]int)
	const n = 4000
	for i := range uint64(n) {
		got[PickService(r, (2*i+1)*((1<<64-1)/(2*n)))]++
	}
	if diff := cmp.Diff(map[identifier.Service]int{"model": 3000, "cases": 1000}, got); diff != "" {
		t.Errorf("split differs (-want +got):\n%s", diff)
	}
}
