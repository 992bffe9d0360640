package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Config configures one replica. Zero values are replaced by the defaults below.
type Config struct {
	// ID is the replica's identity. It belongs to one set of files.
	ID identifier.ReplicaID
	// Seed seeds the random election timeouts.
	Seed uint64
	// ElectionTimeout is how long a voter refuses votes after the last message
	// of a leader. All members must use the same value.
	ElectionTimeout time.Duration
	// Heartbeat is the longest time between two messages from a leader to the
	// same member.
	Heartbeat time.Duration
	// ClockMargin is how much sooner than the ElectionTimeout a lease ends. It
	// covers the difference between the clock rates of two hosts.
	ClockMargin time.Duration

	// SnapshotTimeout is how long a snapshot may be in flight to a member before
	// it is sent again.
	SnapshotTimeout time.Duration

	// MaxEntryBytes limits the data of one entry.
	MaxEntryBytes int
	// MaxUncommittedEntries and MaxUncommittedBytes limit the entries that a
	// leader accepts before a quorum has stored them.
	MaxUncommittedEntries int
	MaxUncommittedBytes   int
	// MaxInflightEntries limits the entries that a leader sends to one member
	// without an acknowledgement.
	MaxInflightEntries int
	// MaxMessageBytes limits the entries of an Append that holds more than one.
	MaxMessageBytes int
	// MaxReads limits the reads that wait for a quorum.
	MaxReads int
	// TrailingEntries and TrailingBytes limit the entries that stay in the log
	// although a snapshot covers them, so that a member that lags slightly can
	// catch up without a snapshot.
	TrailingEntries int
	TrailingBytes   int
}

// Default values of Config.
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

// withDefaults returns a copy of c in which defaults replace zero values.
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

// setDefault sets *v to d if *v is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
