package dispatcher

import (
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

const (
	// maxFinished limits the number of finished requests that are kept.
	maxFinished = 16384
	// maxFinishedBytes limits the total size of the finished requests that are
	// kept.
	maxFinishedBytes = 32 << 20
)

// finishedRecord is an entry of the queue of finished requests.
type finishedRecord struct {
	record *Record
	size   int
}

// registry holds requests by id: all running ones, and the latest finished ones
// up to a limit.
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
	record := newRecord(r)
	g.records[r.ID] = record
	return record, nil
}

// adopt adds a request of another host. It returns its record and the record
// that it replaces, if any. If it returns neither a record nor a refusal, the
// record from an earlier offer is kept and takes the new epoch.
func (g *registry) adopt(h *Handover) (record, old *Record, refusal *refuser.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old = g.records[h.Request.ID]
	if old != nil {
		switch old.decideOffer(h) {
		case keepRecord:
			return nil, nil, nil
		case refuseOffer:
			return nil, nil, refuser.NotRun(refuser.Conflict, "this host owns the request already", "let go of it, or hand it over under a higher epoch")
		case replaceRecord:
		}
	}
	record = newRecord(&h.Request)
	record.epoch, record.progress, record.adopted = h.Epoch, newProgress(h.Progress), true
	g.records[h.Request.ID] = record
	return record, old, nil
}

// offerDecision is what to do with a record when its request is offered again.
type offerDecision int

const (
	refuseOffer offerDecision = iota
	keepRecord
	replaceRecord
)

// decideOffer decides what to do with a record when the same request is offered
// again. If the record is kept, it takes the epoch of the offer. Repeated
// offers occur when a busy or partitioned host acknowledges too late. An
// adopted record is kept if it contains all events of the offer, because
// running the request again would double the work of a backend server. A record
// that is not kept is replaced if its request no longer runs, or if it is an
// adopted record from which no caller has read yet.
func (r *Record) decideOffer(h *Handover) offerDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case h.Epoch <= r.epoch:
		return refuseOffer
	case r.adopted && h.Final == nil && (r.state == Running || r.state == Done) && r.progress.contains(&h.Progress):
		r.epoch = h.Epoch
		return keepRecord
	case r.state != Running:
		return replaceRecord
	case r.adopted && r.lastFollowed.IsZero():
		return replaceRecord
	default:
		return refuseOffer
	}
}

// find returns the request of a customer.
func (g *registry) find(customer identifier.Customer, id identifier.RequestID) (*Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, ok := g.records[id]
	if !ok || record.customer != customer {
		return nil, false
	}
	return record, true
}

// close adds a request to the finished ones if retain is true and the record is
// not too large. Otherwise it removes the request.
func (g *registry) close(record *Record, retain bool) {
	size := 0
	if retain {
		size = record.size()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !retain || size > maxFinishedBytes {
		g.forget(record)
		return
	}
	g.finished = append(g.finished, finishedRecord{record, size})
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

// forget removes a record unless another one has replaced it.
func (g *registry) forget(record *Record) {
	if g.records[record.id] == record {
		delete(g.records, record.id)
	}
}
