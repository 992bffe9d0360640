package admitter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Defaults of a Config.
const (
	// defaultQueued bounds the requests that wait on one host.
	defaultQueued = 1000
	// defaultRetryShare is the part of successes that may be spent on retries.
	defaultRetryShare = identifier.Share(0.1)
	// defaultBatchShare is the part of the tokens that batch gets while
	// interactive requests wait too.
	defaultBatchShare = identifier.Share(0.1)
	// defaultBurst is how many seconds of its rate a customer may save up.
	defaultBurst = 5 * time.Second
	// defaultConcurrency bounds the requests of a service without a limit.
	defaultConcurrency = 64
)

// Config configures an Admitter.
type Config struct {
	// Clock tells the time; nil means the system's.
	Clock timer.Clock
	// Metrics receives the counters; nil means a set of its own.
	Metrics *metrics.Set
	// Queued bounds the requests that wait for each service; 0 means 1000.
	Queued int
	// RetryShare is the part of recent successes that may be spent on retries;
	// 0 means 0.1.
	RetryShare identifier.Share
	// BatchShare is the part of the tokens that batch requests get while
	// interactive ones wait too; 0 means 0.1.
	BatchShare identifier.Share
	// Burst is how long a customer may save up its rate; 0 means 5 s.
	Burst time.Duration
	// StartShare is this host's part of every customer's rate until SetShares
	// is called; 0 means the whole, for a fleet of one host. With several
	// hosts it is DividerConfig.Floor over their number, which a Divider never
	// goes below.
	StartShare identifier.Share
	// Incarnation rises with every start of the process, as its start time does.
	Incarnation uint64
	// Services lists the services and their limits.
	Services []ServiceLimits
	// Customers lists who may send requests.
	Customers []CustomerLimits
}

// ServiceLimits bound what this host sends to the backend servers of a service.
type ServiceLimits struct {
	Service identifier.Service
	// FirstTokenTarget bounds the time from arrival to the first token for 95
	// in 100. What MaxWait leaves of it, at least half, is the target of the
	// concurrency limit. 0 means that the limit stands still.
	FirstTokenTarget time.Duration
	// Concurrency is the most requests side by side; 0 means 64.
	Concurrency int
	// MaxWait bounds the wait of an interactive request for its start, whatever
	// its deadline: one that waits longer is refused, so that those after it
	// need not. 0 means half of FirstTokenTarget.
	MaxWait time.Duration
}

// CustomerLimits are a customer's part of the fleet.
type CustomerLimits struct {
	Customer identifier.Customer
	// Weight is its part in the fair queue; 0 means 1.
	Weight float64
	// RequestsPerSecond bounds its rate over the fleet; 0 means no bound.
	RequestsPerSecond float64
	// TokensPerSecond bounds its generated tokens over the fleet; 0 means no
	// bound.
	TokensPerSecond float64
}

// withDefaults fills in what was left out.
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
