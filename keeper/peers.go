package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
)

// replicateMethod is the call that carries replication messages.
const replicateMethod messenger.Method = "control.replicate"

const (
	// maxQueued bounds the messages that wait to be sent to one host; later
	// ones are lost.
	maxQueued = 2048
	// maxBatchBytes bounds the entries in one call.
	maxBatchBytes = 1 << 20
	// callsPerPeer is how many calls to one host may be under way.
	callsPerPeer = 4
	// callTimeout bounds one call, and callBytesPerSecond is the pace that is
	// waited for beyond that.
	callTimeout        = 2 * time.Second
	callBytesPerSecond = 1 << 20
)

// Peers is the Transport over a messenger, for any number of groups.
type Peers struct {
	messenger *messenger.Messenger
	address   func(identifier.Host) (string, bool)

	mu      sync.Mutex
	keepers map[identifier.GroupID]*Keeper
	parts   assembler
	queues  map[identifier.Host]chan *wire.ReplicationEnvelope
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	lost    *metrics.Counter
}

// NewPeers returns a transport that finds hosts by address. It must be made
// before m serves.
func NewPeers(m *messenger.Messenger, address func(identifier.Host) (string, bool)) *Peers {
	p := &Peers{
		messenger: m, address: address, keepers: make(map[identifier.GroupID]*Keeper),
		queues: make(map[identifier.Host]chan *wire.ReplicationEnvelope),
		lost:   metrics.GetOrCreateCounter("cyclamen_keeper_messages_unsent_total"),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	m.Handle(replicateMethod, p.handle)
	return p
}

// Attach hands k what arrives for its group from now on.
func (p *Peers) Attach(k *Keeper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepers[k.opts.Group] = k
}

// Close ends sending.
func (p *Peers) Close() {
	p.mu.Lock()
	p.stop()
	p.mu.Unlock()
	p.wg.Wait()
}

// handle takes a batch of messages.
func (p *Peers) handle(_ context.Context, c *messenger.Call) (proto.Message, error) {
	var batch wire.ReplicationBatch
	if err := c.Decode(&batch); err != nil {
		return nil, err
	}
	for _, w := range batch.GetEnvelopes() {
		if err := p.deliver(w); err != nil {
			return nil, err
		}
	}
	return &wire.Empty{}, nil
}

// deliver hands a message, or the last part of one, to its keeper.
func (p *Peers) deliver(w *wire.ReplicationEnvelope) error {
	p.mu.Lock()
	k := p.keepers[identifier.GroupID(w.GetGroup())]
	if k != nil && w.GetPart() != nil {
		w = p.parts.add(w)
	}
	p.mu.Unlock()
	if k == nil || w == nil {
		return nil
	}
	e, err := decodeEnvelope(w)
	if err != nil {
		return err
	}
	k.Receive(e)
	return nil
}

// Send queues e for its host, or loses it.
func (p *Peers) Send(to identifier.Host, e Envelope) {
	q := p.queue(to)
	if q == nil {
		return
	}
	for _, w := range split(encodeEnvelope(e)) {
		select {
		case q <- w:
		default:
			p.lost.Inc()
		}
	}
}

// queue returns the queue to a host, and starts its senders when first used.
func (p *Peers) queue(to identifier.Host) chan *wire.ReplicationEnvelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q, ok := p.queues[to]; ok || p.ctx.Err() != nil {
		return q
	}
	address, ok := p.address(to)
	if !ok {
		return nil
	}
	q := make(chan *wire.ReplicationEnvelope, maxQueued)
	p.queues[to] = q
	for range callsPerPeer {
		p.wg.Go(func() { p.sendAll(address, q) })
	}
	return q
}

// sendAll sends what is queued, in batches, until the transport is closed.
func (p *Peers) sendAll(address string, q chan *wire.ReplicationEnvelope) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case w := <-q:
			batch := fill(w, q)
			ctx, cancel := context.WithTimeout(p.ctx, timeoutOf(batch))
			if err := p.messenger.Call(ctx, address, replicateMethod, batch, &wire.Empty{}); err != nil {
				p.lost.Add(len(batch.GetEnvelopes()))
			}
			cancel()
		}
	}
}

// timeoutOf returns how long a call may take.
func timeoutOf(batch *wire.ReplicationBatch) time.Duration {
	return callTimeout + time.Duration(proto.Size(batch))*time.Second/callBytesPerSecond
}

// fill returns a batch of w and what else is queued, within maxBatchBytes.
func fill(w *wire.ReplicationEnvelope, q chan *wire.ReplicationEnvelope) *wire.ReplicationBatch {
	batch := &wire.ReplicationBatch{Envelopes: []*wire.ReplicationEnvelope{w}}
	for size := proto.Size(w); size < maxBatchBytes; {
		select {
		case w := <-q:
			batch.Envelopes = append(batch.Envelopes, w)
			size += proto.Size(w)
			continue
		default:
		}
		break
	}
	return batch
}
