package distributor

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

// drawDocument draws a document from a small alphabet, so that parts repeat.
func drawDocument(t *rapid.T, name string) []byte {
	return rapid.SliceOfN(rapid.SampledFrom([]byte("abc\n")), 0, 40).Draw(t, name)
}

func TestDeltasProduceNewestDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstream, downstream := newTopics(), newTopics()
		n := rapid.IntRange(1, 6).Draw(t, "revisions")
		known := rapid.IntRange(0, n).Draw(t, "known")
		for r := 1; r <= n; r++ {
			topic := Topic{Name: FleetTopic, Revision: identifier.Revision(r), Body: drawDocument(t, "body")}
			upstream.offer(topic)
			if r <= known {
				downstream.offer(topic)
			}
		}
		updates, _ := upstream.newer(downstream.have(), rapid.Bool().Draw(t, "packed"))
		for _, w := range updates {
			// The newest revision may arrive from another upstream first.
			if rapid.Bool().Draw(t, "overtaken") {
				downstream.offer(upstream.byName[FleetTopic].Topic)
			}
			got, err := downstream.decode(w)
			if err != nil {
				t.Fatal(err)
			}
			downstream.offer(got)
		}
		want, got := upstream.byName[FleetTopic].Body, downstream.byName[FleetTopic].Body
		if !bytes.Equal(want, got) {
			t.Fatalf("body is %q, want %q", got, want)
		}
	})
}

func TestSmallChangeProducesSmallDelta(t *testing.T) {
	s := newTopics()
	old := bytes.Repeat([]byte("0123456789"), 100_000)
	changed := bytes.Clone(old)
	changed[500_000] = 'x'
	s.offer(Topic{Name: FleetTopic, Revision: 1, Body: old})
	s.offer(Topic{Name: FleetTopic, Revision: 2, Body: changed})
	updates, _ := s.newer([]*wire.Topic{{Name: string(FleetTopic), Revision: 1}}, false)
	if diff := cmp.Diff([]byte("x"), updates[0].Deltas[0].Middle); diff != "" || len(updates[0].Body) != 0 {
		t.Errorf("body of %d bytes, delta %s", len(updates[0].Body), diff)
	}
}

// TestDistantChangesProduceSmallDeltas guards against deltas that span the unchanged
// text between two changes. It uses a list of 3,000 backend servers in which a few
// are added, removed and changed between two listings.
func TestDistantChangesProduceSmallDeltas(t *testing.T) {
	list := func(change bool) []byte {
		var b bytes.Buffer
		for i := range 3000 {
			switch {
			case change && i == 5: // removed
			case change && i == 1500:
				fmt.Fprintf(&b, "{\"id\":%d,\"draining\":true},\n{\"id\":\"new\"},\n", i)
			case change && i == 2990:
				fmt.Fprintf(&b, "{\"id\":%d,\"version\":\"v2\"},\n", i)
			default:
				fmt.Fprintf(&b, "{\"id\":%d},\n", i)
			}
		}
		return b.Bytes()
	}
	upstream, downstream := newTopics(), newTopics()
	for _, s := range []*topics{upstream, downstream} {
		s.offer(Topic{Name: FleetTopic, Revision: 1, Body: list(false)})
	}
	upstream.offer(Topic{Name: FleetTopic, Revision: 2, Body: list(true)})
	updates, _ := upstream.newer(downstream.have(), true)
	if n := proto.Size(updates[0]); n > 500 {
		t.Errorf("update for three changes has %d bytes, want at most 500", n)
	}
	got, err := downstream.decode(updates[0])
	if err != nil || !bytes.Equal(got.Body, list(true)) {
		t.Errorf("decoded list differs from the upstream list (error %v)", err)
	}
}

func TestMismatchedDeltaRequestsFullDocument(t *testing.T) {
	for name, d := range map[string]*wire.Delta{
		"other base":   {From: 5, To: 6},
		"long prefix":  {From: 1, To: 2, Prefix: 99},
		"long suffix":  {From: 1, To: 2, Prefix: 2, Suffix: 2},
		"wrong result": {From: 1, To: 2, Prefix: 1, Suffix: 1, Middle: []byte("x"), Sum: 1},
	} {
		dist := New(Options{OnUpdate: func(Topic) error { return nil }})
		if err := dist.Offer(Topic{Name: FleetTopic, Revision: 1, Body: []byte("abc")}); err != nil {
			t.Fatal(err)
		}
		err := dist.applyUpdates([]*wire.Topic{{Name: string(FleetTopic), Revision: d.To, Deltas: []*wire.Delta{d}}})
		if err == nil {
			t.Errorf("%s: no error", name)
		}
		if diff := cmp.Diff(0, len(dist.have())); diff != "" {
			t.Errorf("%s: number of revisions in the next watch: %s", name, diff)
		}
		if diff := cmp.Diff(identifier.Revision(1), dist.Revision(FleetTopic)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h history
	for i := range uint64(3 * maxHistoryDeltas) {
		h.add(&wire.Delta{From: i, To: i + 1, Middle: make([]byte, maxHistoryBytes/maxHistoryDeltas*2)})
		if len(h.deltas) > maxHistoryDeltas || h.size > maxHistoryBytes {
			t.Fatalf("history holds %d deltas with %d bytes", len(h.deltas), h.size)
		}
	}
}
