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

// replicateMethod is the method of calls that carry replication messages.
const replicateMethod messenger.Method = "control.replicate"

const (
	// maxQueued bounds the messages queued for one host; further ones are
	// dropped.
	maxQueued = 2048
	// maxBatchBytes is the size, in bytes, at which a batch of messages is
	// sent.
	maxBatchBytes = 1 << 20
	// callsPerPeer is the number of concurrent calls to one host.
	callsPerPeer = 4
	// callTimeout bounds one call. A call gets additional time for its size, at
	// a rate of callBytesPerSecond.
	callTimeout        = 2 * time.Second
	callBytesPerSecond = 1 << 20
)

// Peers is a Transport over a messenger, for any number of groups.
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
	unsent  *metrics.Counter
}

// NewPeers returns a transport that looks up hosts with address. It must be
// called before m serves.
func NewPeers(m *messenger.Messenger, address func(identifier.Host) (string, bool)) *Peers {
	p := &Peers{
		messenger: m, address: address, keepers: make(map[identifier.GroupID]*Keeper),
		queues: make(map[identifier.Host]chan *wire.ReplicationEnvelope),
		unsent: metrics.GetOrCreateCounter("cyclamen_keeper_messages_unsent_total"),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	m.Handle(replicateMethod, p.handle)
	return p
}

// Attach delivers the messages of k's group to k from now on.
func (p *Peers) Attach(k *Keeper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepers[k.opts.Group] = k
}

// Close stops sending and waits for the senders to end.
func (p *Peers) Close() {
	p.mu.Lock()
	p.stop()
	p.mu.Unlock()
	p.wg.Wait()
}

// handle handles a call that carries a batch of messages.
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

// deliver delivers a message to its keeper. Parts are delivered once their
// envelope is complete.
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

// Send queues e for its host. It drops e if the host is unknown or its queue is
// full.
func (p *Peers) Send(to identifier.Host, e Envelope) {
	q := p.queue(to)
	if q == nil {
		return
	}
	for _, w := range split(encodeEnvelope(e)) {
		select {
		case q <- w:
		default:
			p.unsent.Inc()
		}
	}
}

// queue returns the queue of a host and starts its senders on first use.
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
		p.wg.Go(func() { p.sendLoop(address, q) })
	}
	return q
}

// sendLoop sends the queued messages in batches until the transport is closed.
func (p *Peers) sendLoop(address string, q chan *wire.ReplicationEnvelope) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case w := <-q:
			batch := fillBatch(w, q)
			ctx, cancel := context.WithTimeout(p.ctx, callTimeoutFor(batch))
			if err := p.messenger.Call(ctx, address, replicateMethod, batch, &wire.Empty{}); err != nil {
				p.unsent.Add(len(batch.GetEnvelopes()))
			}
			cancel()
		}
	}
}

// callTimeoutFor returns the timeout of a call that carries batch.
func callTimeoutFor(batch *wire.ReplicationBatch) time.Duration {
	return callTimeout + time.Duration(proto.Size(batch))*time.Second/callBytesPerSecond
}

// fillBatch returns a batch of w and further queued messages until it reaches
// maxBatchBytes.
func fillBatch(w *wire.ReplicationEnvelope, q chan *wire.ReplicationEnvelope) *wire.ReplicationBatch {
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
