package keeper

import (
	"log/slog"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/timer"
)

// StateMachine is what the log's entries are applied to. Its methods are called
// by one goroutine at a time and must not wait for the keeper.
type StateMachine interface {
	// Apply applies one entry and returns its result. It is deterministic.
	Apply(index identifier.LogIndex, entry []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot returned.
	Restore(snapshot []byte) error
}

// Transport carries messages to other hosts. It may lose, delay, repeat and
// reorder them, and must not block.
type Transport interface {
	Send(to identifier.Host, e Envelope)
}

// Options configure a Keeper. Zero values take the defaults below.
type Options struct {
	Group identifier.GroupID
	// Host is this host, and Hosts are all that keep the group, the same list
	// everywhere. A group of one needs neither them nor a Transport.
	Host  identifier.Host
	Hosts []identifier.Host
	// Voters is how many voters the group aims at, an odd number. Where it is
	// set, any host may join: the leader keeps the further replicas as learners
	// and lets one take the place of a voter that is lost. Hosts are then only
	// those that found the group, which have to be Voters at most. 0 means that
	// Hosts are all.
	Voters int
	// Contacts returns further hosts that may know the group, and may be nil.
	Contacts func() []identifier.Host
	// JoinOnly keeps this replica from founding a group, as when its host lost
	// its disk.
	JoinOnly bool
	// DataFolder holds a folder for each group.
	DataFolder   string
	StateMachine StateMachine
	Transport    Transport
	Clock        timer.Clock
	Log          *slog.Logger

	// Replica configures the replicator. All hosts use the same.
	Replica replicator.Config
	// SnapshotEntries and SnapshotBytes are how much the log grows between two
	// snapshots, whichever comes first, but no less than the state.
	SnapshotEntries int
	SnapshotBytes   int64
	// MaxWaiting bounds the proposals, and apart from them the reads, that wait
	// here.
	MaxWaiting int

	// singleCommit gives each proposal a sync of its own, for measurements.
	singleCommit bool
	// wrapStorage lets tests make the disk fail.
	wrapStorage func(storage) storage
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultMaxWaiting      = 4096
)

const (
	// maxReceived bounds the messages that wait to be handled; later ones are
	// lost.
	maxReceived = 4096
	// maxBatch bounds how many inputs one step of the loop takes.
	maxBatch = 1024
	// ticksPerHeartbeat is how often the replica looks at the clock.
	ticksPerHeartbeat = 2
)

// withDefaults returns a copy of o in which zero values are replaced.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Transport == nil {
		o.Transport = noTransport{}
	}
	if len(o.Hosts) == 0 {
		o.Hosts = []identifier.Host{o.Host}
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.Replica.Heartbeat == 0 {
		o.Replica.Heartbeat = replicator.DefaultHeartbeat
	}
	if o.Replica.ElectionTimeout == 0 {
		o.Replica.ElectionTimeout = replicator.DefaultElectionTimeout
	}
	return o
}

// tick returns the time between two looks at the clock.
func (o Options) tick() time.Duration { return o.Replica.Heartbeat / ticksPerHeartbeat }

// noTransport loses every message.
type noTransport struct{}

// Send loses e.
func (noTransport) Send(identifier.Host, Envelope) {}
