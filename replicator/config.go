package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Config configures one replica. Zero values take the defaults below.
type Config struct {
	// ID is the identity that the replica's files belong to.
	ID identifier.ReplicaID
	// Seed feeds the choice of election timeouts.
	Seed uint64
	// ElectionTimeout is how long voters refuse votes after they heard from a
	// leader. All members use the same.
	ElectionTimeout time.Duration
	// Heartbeat is the longest time between two messages of a leader to one
	// member.
	Heartbeat time.Duration
	// ClockMargin is what a lease ends before the ElectionTimeout. It covers
	// the difference between the clock rates of two hosts.
	ClockMargin time.Duration

	// SnapshotTimeout is how long a snapshot may be under way to a member
	// before it is sent again.
	SnapshotTimeout time.Duration

	// MaxEntryBytes bounds one entry.
	MaxEntryBytes int
	// MaxUncommittedEntries and MaxUncommittedBytes bound what a leader takes
	// before a quorum has stored it.
	MaxUncommittedEntries int
	MaxUncommittedBytes   int
	// MaxInflightEntries bounds what a leader sends one member before it
	// acknowledges.
	MaxInflightEntries int
	// MaxMessageBytes bounds the entries of one Append that holds several.
	MaxMessageBytes int
	// MaxReads bounds the reads that wait for a quorum.
	MaxReads int
	// TrailingEntries stay in the log behind a snapshot, within TrailingBytes,
	// so that a member that lags a little needs no snapshot.
	TrailingEntries int
	TrailingBytes   int
}

// Defaults of Config.
const (
	DefaultElectionTimeout       = time.Second
	DefaultHeartbeat             = 200 * time.Millisecond
	DefaultClockMargin           = 100 * time.Millisecond
	DefaultSnapshotTimeout       = 10 * time.Second
	DefaultMaxEntryBytes         = 8 << 20
	DefaultMaxUncommittedEntries = 8192
	DefaultMaxUncommittedBytes   = 16 << 20
	DefaultMaxInflightEntries    = 2048
	DefaultMaxMessageBytes       = 512 << 10
	DefaultMaxReads              = 4096
	DefaultTrailingEntries       = 256
	DefaultTrailingBytes         = 1 << 20
)

// withDefaults returns a copy of c in which zero values are replaced.
func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ClockMargin, DefaultClockMargin)
	setDefault(&c.SnapshotTimeout, DefaultSnapshotTimeout)
	setDefault(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	setDefault(&c.MaxUncommittedEntries, DefaultMaxUncommittedEntries)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.MaxInflightEntries, DefaultMaxInflightEntries)
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxReads, DefaultMaxReads)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
	setDefault(&c.TrailingBytes, DefaultTrailingBytes)
	return c
}

// setDefault replaces a zero value.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
