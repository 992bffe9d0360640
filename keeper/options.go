package keeper

import (
	"log/slog"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/timer"
)

// StateMachine is the state machine to which committed entries are applied. Its
// methods are called by one goroutine at a time and must not wait for the
// keeper.
type StateMachine interface {
	// Apply applies the entries of one commit in order and returns their results.
	// The state must be the same however the entries are divided among calls. A
	// restarted replica gets its whole log in one call, so that what depends on the
	// newest state alone is done once.
	Apply(entries ...[]byte) (results [][]byte)
	// Snapshot returns the complete state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot returned.
	Restore(snapshot []byte) error
}

// Transport sends messages to other hosts. It may lose, delay, repeat and
// reorder them, and must not block.
type Transport interface {
	Send(to identifier.Host, e Envelope)
}

// Options configure a Keeper. Zero values are replaced by the defaults below.
type Options struct {
	Group identifier.GroupID
	// Host is this host. Hosts are all hosts of the group, in the same order on
	// every host. A group of one needs neither Hosts nor a Transport.
	Host  identifier.Host
	Hosts []identifier.Host
	// Voters is the intended number of voters, an odd number. If it is set, any
	// host may join: the leader keeps additional replicas as learners and
	// promotes one of them when a voter is lost. Hosts then lists only the
	// hosts that bootstrap the group, at most Voters of them. 0 means that
	// Hosts lists the whole group.
	Voters int
	// Contacts returns additional hosts that may belong to the group. It may be
	// nil.
	Contacts func() []identifier.Host
	// JoinOnly prevents this replica from bootstrapping a group, for example
	// after its host lost its disk, unless its folder says that it was to found
	// the group and its process ended before.
	JoinOnly bool
	// DataFolder contains one folder for each group.
	DataFolder string
	// Files writes the data folder; nil means the file system.
	Files        recorder.FileSystem
	StateMachine StateMachine
	Transport    Transport
	Clock        timer.Clock
	Log          *slog.Logger

	// Replica configures the replicator. It must be the same on all hosts.
	Replica replicator.Config
	// SnapshotEntries and SnapshotBytes are the growth of the log, in entries
	// and in bytes, after which a snapshot is taken, whichever is reached
	// first. The log always grows by at least the size of the state before
	// that.
	SnapshotEntries int
	SnapshotBytes   int64
	// MaxWaiting bounds the proposals that wait at this keeper and, separately,
	// the reads.
	MaxWaiting int

	// disableGroupCommit gives each proposal its own sync, for measurements.
	disableGroupCommit bool
	// wrapStorage lets tests inject disk failures.
	wrapStorage func(storage) storage
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 4 << 20
	DefaultMaxWaiting      = 4096
)

const (
	// maxReceived bounds the queue of received messages; further ones are
	// dropped.
	maxReceived = 4096
	// maxBatch bounds the inputs that one iteration of the loop handles.
	maxBatch = 1024
	// ticksPerHeartbeat is the number of ticks of the loop per heartbeat
	// interval.
	ticksPerHeartbeat = 2
)

// withDefaults returns a copy of o with zero values replaced by their defaults.
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
	if o.Files == nil {
		o.Files = recorder.Disk{}
	}
	if o.Replica.Heartbeat == 0 {
		o.Replica.Heartbeat = replicator.DefaultHeartbeat
	}
	if o.Replica.ElectionTimeout == 0 {
		o.Replica.ElectionTimeout = replicator.DefaultElectionTimeout
	}
	return o
}

// tickInterval returns the time between two ticks of the loop.
func (o Options) tickInterval() time.Duration { return o.Replica.Heartbeat / ticksPerHeartbeat }

// noTransport drops every message.
type noTransport struct{}

// Send drops the message.
func (noTransport) Send(identifier.Host, Envelope) {}
