package admitter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Defaults of a Config.
const (
	// defaultQueued bounds the queued requests of each service on one host.
	defaultQueued = 1000
	// defaultRetryShare is the number of retries allowed per recent success.
	defaultRetryShare = identifier.Share(0.1)
	// defaultBatchShare is the tokens that batch requests get per token of
	// interactive requests while both are queued.
	defaultBatchShare = identifier.Share(0.1)
	// defaultBurst is the number of seconds of a customer's rate that its
	// buckets hold.
	defaultBurst = 5 * time.Second
	// defaultConcurrency bounds the in-flight requests of a service that sets
	// no limit.
	defaultConcurrency = 64
)

// Config configures an Admitter.
type Config struct {
	// Clock is the source of time; nil means the system clock.
	Clock timer.Clock
	// Metrics receives the metrics; nil means a new set.
	Metrics *metrics.Set
	// Queued bounds the queued requests of each service; 0 means 1000.
	Queued int
	// RetryShare is the number of retries allowed per recent success; 0 means
	// 0.1.
	RetryShare identifier.Share
	// BatchShare is the tokens that batch requests get per token of interactive
	// requests while both are queued; 0 means 0.1.
	BatchShare identifier.Share
	// Burst is the time for which an idle customer accumulates its rate; 0
	// means 5 s.
	Burst time.Duration
	// StartShare is this host's share of every customer's rate until the first
	// call of SetShares; 0 means 1, for a fleet of one host. With several
	// hosts, set it to the result of Divider.StartShare, the floor over the
	// number of hosts; a Divider assigns no smaller share.
	StartShare identifier.Share
	// Incarnation increases with every start of the process; the start time
	// is suitable.
	Incarnation uint64
	// Services lists the services and their limits.
	Services []ServiceLimits
	// Customers lists the customers that may send requests.
	Customers []CustomerLimits
}

// ServiceLimits bounds the requests that this host sends to the backend servers
// of one service.
type ServiceLimits struct {
	Service identifier.Service
	// FirstTokenTarget bounds the time from arrival to the first token for 95
	// in 100 requests. The concurrency limit aims at what MaxWait leaves of it,
	// but at least half of it. 0 means that the concurrency limit is fixed.
	FirstTokenTarget time.Duration
	// Concurrency is the upper bound of the concurrency limit, in requests; 0
	// means 64.
	Concurrency int
	// MaxWait bounds the time that an interactive request is queued, whatever
	// its deadline. A request that waits longer is refused, which shortens the
	// wait of those behind it. 0 means half of FirstTokenTarget.
	MaxWait time.Duration
}

// CustomerLimits holds the limits of a customer across the fleet.
type CustomerLimits struct {
	Customer identifier.Customer
	// Weight is the customer's weight in the fair queue; 0 means 1.
	Weight float64
	// RequestsPerSecond bounds the customer's request rate over the fleet; 0
	// means no bound.
	RequestsPerSecond float64
	// TokensPerSecond bounds the customer's rate of generated tokens over the
	// fleet; 0 means no bound.
	TokensPerSecond float64
}

// withDefaults returns cfg with defaults in place of unset fields.
func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = timer.System{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Queued <= 0 {
		cfg.Queued = defaultQueued
	}
	if cfg.RetryShare <= 0 {
		cfg.RetryShare = defaultRetryShare
	}
	if cfg.BatchShare <= 0 {
		cfg.BatchShare = defaultBatchShare
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.StartShare <= 0 {
		cfg.StartShare = 1
	}
	return cfg
}
