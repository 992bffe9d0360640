package distributor

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/internal/wire"
)

// routesDocument returns a document with n routes.
func routesDocument(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"bara56.example","pathPrefix":"/p%d/","routeType":"idempotent","timeoutMs":3000,"service":"cases"},`, i, i*7919)
	}
	return b.Bytes()
}

// A change that adds thousands of routes must reach each host in a fraction of
// its size, also where the host fetches the whole document.
func TestLargeChangeIsPacked(t *testing.T) {
	s, receiver := newTopics(), newTopics()
	small, large := routesDocument(50), routesDocument(2000)
	s.offer(Topic{Name: FleetTopic, Revision: 1, Body: small})
	receiver.offer(Topic{Name: FleetTopic, Revision: 1, Body: small})
	s.offer(Topic{Name: FleetTopic, Revision: 2, Body: large})
	for _, have := range [][]*wire.Topic{receiver.have(), nil} {
		updates, _ := s.newer(have, true)
		if n := proto.Size(updates[0]); n > len(large)/5 {
			t.Errorf("the update has %d bytes, the document %d", n, len(large))
		}
		got, err := receiver.decode(updates[0])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(Topic{Name: FleetTopic, Revision: 2, Body: large}, got); diff != "" {
			t.Errorf("unpacked (-want +got):\n%s", diff)
		}
	}
}

// A damaged packed update, or one that contains another topic, must be an error.
func TestDamagedPackedUpdateIsRejected(t *testing.T) {
	good := deflate(&wire.Topic{Name: string(FleetTopic), Revision: 2, Body: routesDocument(100)})
	for name, w := range map[string]*wire.Topic{
		"cut short":        {Name: string(FleetTopic), Revision: 2, Packed: good[:len(good)/2]},
		"no deflate":       {Name: string(FleetTopic), Revision: 2, Packed: []byte("no deflate")},
		"another revision": {Name: string(FleetTopic), Revision: 3, Packed: good},
		"another topic":    {Name: "servers", Revision: 2, Packed: good},
	} {
		if _, err := newTopics().decode(w); !errors.Is(err, errUnpackable) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
