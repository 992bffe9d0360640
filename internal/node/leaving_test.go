package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestLeavingServerGetsNoCalls guards against calls at a backend server that has said in
// an answer that it leaves, before the list says so.
func TestLeavingServerGetsNoCalls(t *testing.T) {
	const calls = 40
	s := newSystem(t)
	s.cloud.Servers = nil
	// The host prefers the server that leaves, since the other one is slower.
	backends := []*standin.Backends{{}, {Delay: 20 * time.Millisecond}}
	servers := make([]*standin.BrittleServer, 2)
	for i := range servers {
		b, err := standin.NewBrittleServer(backends[i], calls, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		servers[i] = b
		s.cloud.Servers = append(s.cloud.Servers, b.Address())
	}
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	servers[0].SetLeaving(true)
	heard := 0 // calls answered by the server that leaves
	for n := range calls {
		id := identifier.RequestID(fmt.Sprint("id-", n))
		if status, _ := s.request(http.MethodPost, entryA, standin.FrontendPort, "/file/1", "x", standin.CallHeader(id, "k1", 5*time.Second)); status != http.StatusOK {
			t.Errorf("call %s: status %d, want 200", id, status)
		}
		heard += backends[0].Runs()[id]
	}
	if heard != 1 {
		t.Errorf("%d of %d calls, one after the other, went to a server that says in the first answer that it leaves, want 1", heard, calls)
	}
}
