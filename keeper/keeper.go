package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/replicator"
)

// Keeper is one running replica.
type Keeper struct {
	opts Options
	id   identifier.ReplicaID

	proposals chan *proposal
	readings  chan *read
	received  chan Envelope
	status    atomic.Pointer[Status]
	stop      context.CancelFunc
	stopped   sync.WaitGroup
	ended     chan struct{}
	closing   sync.Once
	closeErr  error

	// The fields below belong to the loop.
	store   storage
	replica *replicator.Replica
	jobs    chan job
	done    chan finished
	events  []replicator.Event
	pending job
	busy    bool
	// size is that of the log segment, now and (floor) right after the last
	// snapshot, and snapshotBytes that of the state.
	size, floor   int64
	snapshotBytes int64
	failure       error
	role          replicator.RoleChanged
	waiters       waiters
	hosts         map[identifier.ReplicaID]identifier.Host
	found         founding

	lost    *metrics.Counter
	applied *metrics.Counter
	asides  *metrics.Counter
	changes *metrics.Counter
	batches *metrics.Histogram
	leads   *metrics.Gauge
	term    *metrics.Gauge
	commit  *metrics.Gauge
}

// Open opens the group's folder, restores the state machine and starts the
// replica. Its errors are those of recorder.Open and StateMachine.Restore.
func Open(opts Options) (*Keeper, error) {
	opts = opts.withDefaults()
	folder := filepath.Join(opts.DataFolder, fmt.Sprintf("group-%d", opts.Group))
	rec, found, err := recorder.Open(folder, opts.Group)
	if err != nil {
		return nil, err
	}
	if found.CutBytes > 0 {
		opts.Log.Warn("cut a torn write off the log", "group", opts.Group, "bytes", found.CutBytes)
	}
	if found.Stored.Snapshot.Index > 0 {
		if err := opts.StateMachine.Restore(found.Stored.Snapshot.Data); err != nil {
			_ = rec.Close()
			return nil, fmt.Errorf("control log: %w: run the release that wrote the snapshot, or empty %s so that this replica joins anew", err, folder)
		}
	}
	k := newKeeper(opts, rec, found)
	k.start()
	return k, nil
}

// newKeeper returns a keeper that does not run yet.
func newKeeper(opts Options, rec storage, found recorder.Found) *Keeper {
	if opts.wrapStorage != nil {
		rec = opts.wrapStorage(rec)
	}
	opts.Replica.ID, opts.Replica.Seed = found.Replica, rand.Uint64()
	label := `{group="` + strconv.Itoa(int(opts.Group)) + `"}`
	k := &Keeper{
		opts: opts, id: found.Replica, store: rec,
		proposals: make(chan *proposal, opts.MaxWaiting), readings: make(chan *read, opts.MaxWaiting),
		received: make(chan Envelope, maxReceived), ended: make(chan struct{}),
		jobs: make(chan job, 1), done: make(chan finished, 1),
		waiters: newWaiters(rand.Uint64()), hosts: make(map[identifier.ReplicaID]identifier.Host),
		size: rec.Size(), snapshotBytes: int64(len(found.Stored.Snapshot.Data)),
		lost:    metrics.GetOrCreateCounter("cyclamen_keeper_messages_dropped_total" + label),
		applied: metrics.GetOrCreateCounter("cyclamen_keeper_entries_applied_total" + label),
		asides:  metrics.GetOrCreateCounter("cyclamen_keeper_stepped_aside_total" + label),
		changes: metrics.GetOrCreateCounter("cyclamen_keeper_role_changes_total" + label),
		batches: metrics.GetOrCreateHistogram("cyclamen_keeper_proposals_per_sync" + label),
		leads:   metrics.GetOrCreateGauge("cyclamen_keeper_leads"+label, nil),
		term:    metrics.GetOrCreateGauge("cyclamen_keeper_term"+label, nil),
		commit:  metrics.GetOrCreateGauge("cyclamen_keeper_commit_index"+label, nil),
	}
	// The state machine has the snapshot's data; the replica needs none of it.
	found.Stored.Snapshot.Data = nil
	k.replica = replicator.New(opts.Replica, found.Stored, opts.Clock.Now())
	k.publish()
	return k
}

// start starts the goroutines.
func (k *Keeper) start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	k.stopped.Go(func() { runDisk(k.store, k.jobs, k.done) })
	k.stopped.Go(func() { k.run(ctx) })
}

// Close stops the replica and closes its folder. Its callers get an error.
func (k *Keeper) Close() error {
	k.closing.Do(func() {
		k.stop()
		k.stopped.Wait()
		k.closeErr = k.store.Close()
	})
	return k.closeErr
}

// Propose returns the result of an entry once it is committed and applied. Its
// error is a refuser.Refusal that tells whether the entry may still take
// effect.
func (k *Keeper) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	return k.await(ctx, &proposal{ctx: ctx, data: entry})
}

// ChangeMembers makes one change of members and returns once it is committed.
// Its error is like that of Propose; a Conflict tells what to mend first.
func (k *Keeper) ChangeMembers(ctx context.Context, c replicator.Change) error {
	_, err := k.await(ctx, &proposal{ctx: ctx, change: c})
	return err
}

// await hands p to the loop and waits for its outcome.
func (k *Keeper) await(ctx context.Context, p *proposal) ([]byte, error) {
	done := make(chan outcome, 1)
	p.done = done
	select {
	case k.proposals <- p:
	default:
		return nil, errQueueFull()
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
	case <-k.ended:
		select {
		case o := <-done:
			return o.result, o.err
		default:
		}
	}
	if p.state.CompareAndSwap(held, givenUp) {
		return nil, errNoLeader()
	}
	return nil, errUnknown()
}

// Read returns once the state machine holds everything that was committed
// before the call.
func (k *Keeper) Read(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case k.readings <- &read{ctx, done}:
	default:
		return errQueueFull()
	}
	select {
	case err := <-done:
		if err == nil {
			err = k.checkFresh()
		}
		return err
	case <-ctx.Done():
		return errNoRead()
	case <-k.ended:
		return errClosed()
	}
}

// checkFresh refuses a reading that a leader confirmed but delivers only after
// its lease has ended, as when the process was stopped in between.
func (k *Keeper) checkFresh() error {
	s := k.Status()
	if s.Role == replicator.Leader && !k.opts.Clock.Now().Before(s.LeaseUntil) {
		return errNoRead()
	}
	return nil
}

// Receive takes a message from the transport. When too many wait, it is lost.
func (k *Keeper) Receive(e Envelope) {
	if e.Group != k.opts.Group {
		return
	}
	select {
	case k.received <- e:
	default:
		k.lost.Inc()
	}
}

// now reads the passed clock.
func (k *Keeper) now() time.Time { return k.opts.Clock.Now() }
