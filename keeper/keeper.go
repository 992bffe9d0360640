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
	reads     chan *read
	received  chan Envelope
	status    atomic.Pointer[Status]
	stop      context.CancelFunc
	wg        sync.WaitGroup
	loopDone  chan struct{}
	closeOnce sync.Once
	closeErr  error

	// Only the loop uses the fields below.
	store   storage
	replica *replicator.Replica
	// appliedIndex is the last entry that the state machine has applied. It is
	// behind the commit index while the effects of a step are performed.
	appliedIndex identifier.LogIndex
	jobs         chan job
	jobResults   chan jobResult
	events       []replicator.Event
	nextJob      job
	diskBusy     bool
	// logBytes and sizeAtSnapshot are the size of the log segment now and right
	// after the last snapshot; snapshotBytes is the size of the state in that
	// snapshot. All are in bytes.
	logBytes, sizeAtSnapshot int64
	snapshotBytes            int64
	failure                  error
	role                     replicator.RoleChanged
	waiters                  waiters
	hosts                    map[identifier.ReplicaID]identifier.Host
	bootstrap                bootstrapState

	messagesDropped  *metrics.Counter
	entriesApplied   *metrics.Counter
	replicaHalts     *metrics.Counter
	roleChanges      *metrics.Counter
	proposalsPerSync *metrics.Histogram
	leading          *metrics.Gauge
	term             *metrics.Gauge
	commit           *metrics.Gauge
	applied          *metrics.Gauge
}

// Open opens the folder of the group, restores the state machine and starts the
// replica. It returns the errors of recorder.Open and StateMachine.Restore.
func Open(opts Options) (*Keeper, error) {
	opts = opts.withDefaults()
	folder := filepath.Join(opts.DataFolder, fmt.Sprintf("group-%d", opts.Group))
	if err := opts.recallFounders(folder); err != nil {
		return nil, err
	}
	rec, recovered, err := recorder.OpenWith(opts.Files, folder, opts.Group)
	if err != nil {
		return nil, err
	}
	if recovered.TruncatedBytes > 0 {
		opts.Log.Warn("left out an incomplete write at the end of the log", "group", opts.Group, "bytes", recovered.TruncatedBytes)
	}
	if recovered.Stored.Snapshot.Index > 0 {
		if err := opts.StateMachine.Restore(recovered.Stored.Snapshot.Data); err != nil {
			_ = rec.Close()
			return nil, fmt.Errorf("control log: %w: run the release that wrote the snapshot, or empty %s so that this replica rejoins the group", err, folder)
		}
	}
	k := newKeeper(opts, rec, recovered)
	k.start()
	return k, nil
}

// newKeeper returns a keeper that is not started.
func newKeeper(opts Options, rec storage, recovered recorder.Recovered) *Keeper {
	if opts.wrapStorage != nil {
		rec = opts.wrapStorage(rec)
	}
	opts.Replica.ID, opts.Replica.Seed = recovered.Replica, rand.Uint64()
	label := `{group="` + strconv.Itoa(int(opts.Group)) + `"}`
	k := &Keeper{
		opts: opts, id: recovered.Replica, store: rec,
		proposals: make(chan *proposal, opts.MaxWaiting), reads: make(chan *read, opts.MaxWaiting),
		received: make(chan Envelope, maxReceived), loopDone: make(chan struct{}),
		jobs: make(chan job, 1), jobResults: make(chan jobResult, 1),
		waiters: newWaiters(rand.Uint64()), hosts: make(map[identifier.ReplicaID]identifier.Host),
		logBytes: rec.Size(), snapshotBytes: int64(len(recovered.Stored.Snapshot.Data)),
		messagesDropped:  metrics.GetOrCreateCounter("cyclamen_keeper_messages_dropped_total" + label),
		entriesApplied:   metrics.GetOrCreateCounter("cyclamen_keeper_entries_applied_total" + label),
		replicaHalts:     metrics.GetOrCreateCounter("cyclamen_keeper_stepped_aside_total" + label),
		roleChanges:      metrics.GetOrCreateCounter("cyclamen_keeper_role_changes_total" + label),
		proposalsPerSync: metrics.GetOrCreateHistogram("cyclamen_keeper_proposals_per_sync" + label),
		leading:          metrics.GetOrCreateGauge("cyclamen_keeper_leads"+label, nil),
		term:             metrics.GetOrCreateGauge("cyclamen_keeper_term"+label, nil),
		commit:           metrics.GetOrCreateGauge("cyclamen_keeper_commit_index"+label, nil),
		applied:          metrics.GetOrCreateGauge("cyclamen_keeper_applied_index"+label, nil),
	}
	// The state machine holds the data of the snapshot; the replica does not
	// need it.
	recovered.Stored.Snapshot.Data = nil
	k.replica = replicator.New(opts.Replica, recovered.Stored, opts.Clock.Now())
	k.appliedIndex = k.replica.Commit()
	k.publish()
	return k
}

// start starts the loop and the disk goroutine.
func (k *Keeper) start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	k.wg.Go(func() { runDisk(k.store, k.jobs, k.jobResults) })
	k.wg.Go(func() { k.run(ctx) })
}

// Close stops the replica and closes its folder. Waiting callers get an error.
func (k *Keeper) Close() error {
	k.closeOnce.Do(func() {
		k.stop()
		k.wg.Wait()
		k.closeErr = k.store.Close()
	})
	return k.closeErr
}

// Propose proposes an entry and returns its result once it is committed and
// applied. The error is a refuser.Refusal that says whether the entry may still
// take effect.
func (k *Keeper) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	return k.await(ctx, &proposal{ctx: ctx, data: entry})
}

// ChangeMembers makes one membership change and returns once it is committed.
// Its errors are those of Propose; a Conflict says what to correct first.
func (k *Keeper) ChangeMembers(ctx context.Context, c replicator.Change) error {
	_, err := k.await(ctx, &proposal{ctx: ctx, change: c})
	return err
}

// await sends p to the loop and waits for its outcome.
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
	case <-k.loopDone:
		select {
		case o := <-done:
			return o.result, o.err
		default:
		}
	}
	if p.state.CompareAndSwap(stateHeld, stateCanceled) {
		return nil, errNoLeader()
	}
	return nil, errOutcomeUnknown()
}

// Read returns once the state machine has applied everything that was committed
// before the call.
func (k *Keeper) Read(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case k.reads <- &read{ctx, done}:
	default:
		return errQueueFull()
	}
	select {
	case err := <-done:
		if err == nil {
			err = k.checkReadLease()
		}
		return err
	case <-ctx.Done():
		return errNoRead()
	case <-k.loopDone:
		return errClosed()
	}
}

// checkReadLease refuses a read that a leader confirmed but completes only
// after its lease has ended, for example because the process was paused in
// between.
func (k *Keeper) checkReadLease() error {
	s := k.Status()
	if s.Role == replicator.Leader && !k.opts.Clock.Now().Before(s.LeaseUntil) {
		return errNoRead()
	}
	return nil
}

// Receive accepts a message from the transport. It drops the message if the
// queue is full.
func (k *Keeper) Receive(e Envelope) {
	if e.Group != k.opts.Group {
		return
	}
	select {
	case k.received <- e:
	default:
		k.messagesDropped.Inc()
	}
}

// now returns the time of the configured clock.
func (k *Keeper) now() time.Time { return k.opts.Clock.Now() }
