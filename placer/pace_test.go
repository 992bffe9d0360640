package placer

import (
	"sync"
	"testing"
	"time"
)

// TestStreamsEndWhileServersArePublished guards against a stream that reads the state of
// its server while a changed document or list replaces it; the race detector shows it.
func TestStreamsEndWhileServersArePublished(t *testing.T) {
	p := New(Options{})
	servers := []Server{{ID: "b0", Service: "model", Version: "v1", Slots: 1, Engine: true, EventTokens: 1}}
	p.Publish(servers)
	c := place(t, p, Request{Service: "model", Version: "v1"})
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 100 {
		wg.Go(func() { c.RecordSteps(minStepEvents, time.Second) })
		wg.Go(func() { p.Publish(servers) })
	}
}
