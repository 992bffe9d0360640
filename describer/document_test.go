package describer

import (
	"strings"
	"testing"
)

// testDocument returns a valid document.
func testDocument() *Document {
	return &Document{
		Services: []Service{{Name: "model"}, {Name: "cases"}},
		Routes: []Route{
			{Name: "all", Host: "app.example", Prefix: "/", Kind: Idempotent, Timeout: 1, Split: []Destination{{Service: "cases", Weight: 1}}},
			{Name: "drafts", Host: "app.example", Prefix: "/drafts/", Kind: Streaming, Timeout: 1, Split: []Destination{{Service: "model", Weight: 3}, {Service: "cases", Weight: 1}}},
		},
		Customers: []Customer{{Name: "foodbank", Keys: []string{"k1", "k2"}}, {Name: "choir", Keys: []string{"k3"}}},
	}
}

func TestCheckRejectsInvalidDocuments(t *testing.T) {
	if err := testDocument().Check(); err != nil {
		t.Fatalf("a valid document is rejected: %v", err)
	}
	for _, tc := range []struct {
		name   string
		mutate func(*Document)
		want   string
	}{
		{"unknown service", func(d *Document) { d.Routes[0].Split[0].Service = "lost" }, `the service "lost" is unknown`},
		{"same host and prefix", func(d *Document) { d.Routes[1].Prefix = "/" }, "two routes stand"},
		{"no weight", func(d *Document) { d.Routes[0].Split[0].Weight = 0 }, "add up to 0"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "timeout"},
		{"shared key", func(d *Document) { d.Customers[1].Keys[0] = "k1" }, "hold one key"},
		{"no slash", func(d *Document) { d.Routes[1].Prefix = "/drafts" }, "slash"},
		{"no split", func(d *Document) { d.Routes[1].Split = nil }, "add up to 0"},
		{"unknown kind", func(d *Document) { d.Routes[1].Kind = "other" }, "kind"},
	} {
		d := testDocument()
		tc.mutate(d)
		if err := d.Check(); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v does not contain %q", tc.name, err, tc.want)
		}
	}
}
