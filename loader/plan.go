package loader

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

const (
	// DefaultConcurrency is the Concurrency of a Plan that names none.
	DefaultConcurrency = 64
	// MaxConcurrency bounds the requests in flight.
	MaxConcurrency = 20_000
	// MaxDuration bounds a run.
	MaxDuration = time.Hour
	// DefaultTimeout bounds one request of a Plan that names no Timeout.
	DefaultTimeout = 30 * time.Second
)

// Plan says what load to send.
type Plan struct {
	// Targets are base URLs, used in turn.
	Targets []string
	// Method defaults to POST.
	Method string
	// Path is the path of every request.
	Path string
	// Body is the body of every request.
	Body []byte
	// Key is the caller's API key.
	Key string
	// Stream tells that answers are event streams ending in "data: [DONE]".
	Stream bool
	// IdempotencyKeys adds a new Idempotency-Key to each request.
	IdempotencyKeys bool
	// Rate is the arrivals a second; 0 means closed-loop.
	Rate float64
	// Concurrency bounds the requests in flight. Open-loop arrivals beyond it
	// are counted as dropped.
	Concurrency int
	// Duration is how long requests are started.
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Seed fixes the arrival times.
	Seed uint64
	// Progress, if set, is called about once a second.
	Progress func(Progress)
}

// Progress is a running count.
type Progress struct {
	Elapsed             time.Duration
	Started, Done, Fail int64
}

// withDefaults returns p with defaults filled in, or what is wrong with it.
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
