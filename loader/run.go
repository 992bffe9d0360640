package loader

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/timer"
)

// progressInterval is the time between calls of Plan.Progress.
const progressInterval = time.Second

// runner is the state of one run.
type runner struct {
	plan   Plan
	client *client
	report *recorder

	started   atomic.Int64
	startedAt time.Time
}

// Run sends the load and returns the measurements. If ctx ends early, it
// returns the measurements up to then. The error is not nil only if p is
// invalid.
func Run(ctx context.Context, p Plan) (*Report, error) {
	p, err := p.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &runner{plan: p, client: newClient(p), report: newRecorder(), startedAt: time.Now()}
	defer r.client.http.CloseIdleConnections()
	stop := r.showProgress()
	defer stop()
	if p.Rate > 0 {
		r.openLoop(ctx)
	} else {
		r.closedLoop(ctx)
	}
	return r.report.finish(r.started.Load(), time.Since(r.startedAt)), nil
}

// closedLoop keeps Plan.Concurrency requests in flight.
func (r *runner) closedLoop(ctx context.Context) {
	var wg sync.WaitGroup
	for range r.plan.Concurrency {
		wg.Go(func() {
			for ctx.Err() == nil && time.Since(r.startedAt) < r.plan.Duration {
				n := r.started.Add(1)
				r.report.add(r.client.send(ctx, n, time.Now()))
			}
		})
	}
	wg.Wait()
}

// openLoop starts requests at the arrival times of a Poisson process.
func (r *runner) openLoop(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.plan.Seed, 1))
	slots := make(chan struct{}, r.plan.Concurrency)
	var wg sync.WaitGroup
	defer wg.Wait()
	next := r.startedAt
	for {
		next = next.Add(time.Duration(rnd.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if next.Sub(r.startedAt) >= r.plan.Duration || !timer.Sleep(ctx, time.Until(next)) {
			return
		}
		n := r.started.Add(1)
		select {
		case slots <- struct{}{}:
		default:
			r.report.add(result{failure: "dropped"})
			continue
		}
		start := next
		wg.Go(func() {
			defer func() { <-slots }()
			r.report.add(r.client.send(ctx, n, start))
		})
	}
}

// showProgress calls Plan.Progress at intervals until the returned function is
// called.
func (r *runner) showProgress() (stop func()) {
	if r.plan.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for next := r.startedAt.Add(progressInterval); timer.Sleep(ctx, time.Until(next)); next = next.Add(progressInterval) {
			answered, failed := r.report.counts()
			r.plan.Progress(Progress{Elapsed: time.Since(r.startedAt), Started: r.started.Load(), Answered: answered, Failed: failed})
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
