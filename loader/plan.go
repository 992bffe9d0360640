package loader

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

const (
	// DefaultConcurrency is used if Plan.Concurrency is 0.
	DefaultConcurrency = 64
	// MaxConcurrency limits Plan.Concurrency.
	MaxConcurrency = 20_000
	// MaxDuration limits Plan.Duration.
	MaxDuration = time.Hour
	// DefaultTimeout is used if Plan.Timeout is not positive.
	DefaultTimeout = 30 * time.Second
)

// Plan describes the load to send.
type Plan struct {
	// Targets are the base URLs, used round-robin.
	Targets []string
	// Method is the method of every request; the default is POST.
	Method string
	// Path is the path of every request.
	Path string
	// Body is the body of every request.
	Body []byte
	// Key is the caller's API key.
	Key string
	// Stream is true if the answers are event streams, which end with
	// "data: [DONE]".
	Stream bool
	// IdempotencyKeys adds a new Idempotency-Key to each request.
	IdempotencyKeys bool
	// Rate is the number of arrivals per second; 0 means closed-loop load.
	Rate float64
	// Concurrency limits the in-flight requests. Open-loop arrivals above the
	// limit are counted as dropped.
	Concurrency int
	// Duration is the time during which requests are started.
	Duration time.Duration
	// Timeout limits one request.
	Timeout time.Duration
	// Seed makes the arrival times reproducible.
	Seed uint64
	// Progress, if not nil, is called about once per second.
	Progress func(Progress)
}

// Progress holds the counts of a run so far.
type Progress struct {
	Elapsed                   time.Duration
	Started, Answered, Failed int64
}

// withDefaults returns p with defaults filled in, or an error that says what is
// wrong with it.
func (p Plan) withDefaults() (Plan, error) {
	if len(p.Targets) == 0 {
		return p, errors.New("no target: name at least one base URL")
	}
	for _, t := range p.Targets {
		if u, err := url.Parse(t); err != nil || u.Scheme != "http" || u.Host == "" {
			return p, fmt.Errorf("target %q is no base URL: write it as http://127.0.0.1:8080", t)
		}
	}
	if p.Duration <= 0 || p.Duration > MaxDuration {
		return p, fmt.Errorf("duration %v: choose one up to %v", p.Duration, MaxDuration)
	}
	if p.Rate < 0 {
		return p, fmt.Errorf("rate %v is negative: choose 0 for closed-loop or a positive rate", p.Rate)
	}
	if p.Concurrency < 0 || p.Concurrency > MaxConcurrency {
		return p, fmt.Errorf("concurrency %d: choose one up to %d", p.Concurrency, MaxConcurrency)
	}
	if p.Concurrency == 0 {
		p.Concurrency = DefaultConcurrency
	}
	if p.Timeout <= 0 {
		p.Timeout = DefaultTimeout
	}
	if p.Method == "" {
		p.Method = http.MethodPost
	}
	return p, nil
}
