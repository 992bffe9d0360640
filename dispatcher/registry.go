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

// adopt adds a request of another host and returns its record, with the one that
// it replaces, if any. Without a record and a refusal, the copy that a former
// offer brought here goes on under the new epoch.
func (g *registry) adopt(h *Handover) (c, old *Record, refusal *refuser.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old = g.records[h.Request.ID]
	if old != nil {
		switch old.meet(h) {
		case keep:
			return nil, nil, nil
		case refuse:
			return nil, nil, refuser.NotRun(refuser.Conflict, "this host owns the request already", "let go of it, or hand it over under a higher epoch")
		case replace:
		}
	}
	c = newRecord(&h.Request)
	c.epoch, c.progress, c.copied = h.Epoch, newProgress(h.Progress), true
	g.records[h.Request.ID] = c
	return c, old, nil
}

// verdict is what becomes of a record when its request is offered again.
type verdict int

const (
	refuse verdict = iota
	keep
	replace
)

// meet weighs a record against an offer of the same request, and takes the
// offer's epoch where the record stays. The load pattern is hosts that are so
// busy, or so cut off, that acknowledgements come late and offers are repeated.
// A copy stays where it holds what the offer holds, since running it again
// would cost a backend server the work twice. A copy that is behind gives way as
// long as no caller has read from it.
func (c *Record) meet(h *Handover) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case h.Epoch <= c.epoch:
		return refuse
	case c.copied && h.Final == nil && (c.state == Running || c.state == Done) && c.progress.holds(&h.Progress):
		c.epoch = h.Epoch
		return keep
	case c.state != Running:
		return replace
	case c.copied && c.seen.IsZero():
		return replace
	default:
		return refuse
	}
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
func (g *registry) close(c *Record, findable bool) {
	size := 0
	if findable {
		size = c.size()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !findable || size > maxFinishedBytes {
		g.forget(c)
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
	g.forget(oldest.record)
}

// forget drops a record, unless another has replaced it.
func (g *registry) forget(c *Record) {
	if g.records[c.id] == c {
		delete(g.records, c.id)
	}
}
