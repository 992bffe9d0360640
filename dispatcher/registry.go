package dispatcher

import (
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

const (
	// maxFinished bounds the finished requests that can be asked about.
	maxFinished = 16384
	// maxFinishedBytes bounds what they hold together.
	maxFinishedBytes = 32 << 20
)

// finishedRecord is an entry of the queue of finished requests.
type finishedRecord struct {
	record *Record
	size   int
}

// registry finds requests by id: the running ones, and the latest finished
// ones up to a bound.
type registry struct {
	mu       sync.Mutex
	records  map[identifier.RequestID]*Record
	finished []finishedRecord
	bytes    int
}

func newRegistry() *registry {
	return &registry{records: make(map[identifier.RequestID]*Record)}
}

// open adds a running request.
func (g *registry) open(r *Request) (*Record, *refuser.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.records[r.ID]; ok {
		return nil, refuser.NotRun(refuser.Conflict, "the request id is in use", "choose a new id for a new request, or ask GET /v1/requests/{id}")
	}
	c := newRecord(r)
	g.records[r.ID] = c
	return c, nil
}

// adopt adds a request of another host, unless a higher epoch is known.
func (g *registry) adopt(h *Handover) (*Record, *refuser.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.records[h.Request.ID]; ok && !old.yields(h.Epoch) {
		return nil, refuser.NotRun(refuser.Conflict, "this host owns the request already", "let go of it, or hand it over under a higher epoch")
	}
	c := newRecord(&h.Request)
	c.epoch, c.progress = h.Epoch, newProgress(h.Progress)
	g.records[h.Request.ID] = c
	return c, nil
}

// find returns a request of that customer.
func (g *registry) find(customer identifier.Customer, id identifier.RequestID) (*Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.records[id]
	if !ok || c.customer != customer {
		return nil, false
	}
	return c, true
}

// close moves a request to the finished ones, or forgets it.
func (g *registry) close(c *Record, keep bool) {
	size := 0
	if keep {
		size = c.size()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !keep || size > maxFinishedBytes {
		delete(g.records, c.id)
		return
	}
	g.finished = append(g.finished, finishedRecord{c, size})
	g.bytes += size
	for len(g.finished) > maxFinished || g.bytes > maxFinishedBytes {
		g.dropOldest()
	}
}

func (g *registry) dropOldest() {
	oldest := g.finished[0]
	g.finished[0] = finishedRecord{}
	g.finished = g.finished[1:]
	g.bytes -= oldest.size
	if g.records[oldest.record.id] == oldest.record {
		delete(g.records, oldest.record.id)
	}
}
