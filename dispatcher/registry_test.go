package dispatcher

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// TestRegistryIsBounded checks that finished requests stay within the limits,
// that the latest ones are found, and that running ones are never removed.
func TestRegistryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRegistry()
		running := make(map[identifier.RequestID]*Record)
		n := rapid.IntRange(1, 200).Draw(t, "requests")
		for i := range n {
			r := &Request{ID: identifier.RequestID(fmt.Sprint(i)), Customer: "c", Kind: Call{}}
			record, refusal := g.open(r)
			if refusal != nil {
				t.Fatal(refusal)
			}
			if _, refusal := g.open(r); refusal == nil {
				t.Fatal("a request id in use was accepted")
			}
			running[r.ID] = record
			if rapid.Bool().Draw(t, "stays") {
				continue
			}
			record.settle(&Answer{Body: make([]byte, rapid.IntRange(0, maxFinishedBytes/20).Draw(t, "bytes"))}, nil)
			g.close(record, true)
			delete(running, r.ID)
			if _, ok := g.find("c", r.ID); !ok {
				t.Fatal("the latest finished request was not found")
			}
			if g.bytes > maxFinishedBytes || len(g.finished) > maxFinished || len(g.records) != len(running)+len(g.finished) {
				t.Fatalf("%d bytes in %d finished of %d requests", g.bytes, len(g.finished), len(g.records))
			}
		}
		for id := range running {
			if _, ok := g.find("c", id); !ok {
				t.Fatalf("running request %s is not found", id)
			}
			if _, ok := g.find("other", id); ok {
				t.Fatal("another customer finds the request")
			}
		}
	})
}
