package loadbench

import (
	"slices"
	"time"

	"cyclamenhub.org/router"
)

// EngineModel describes how fast an engine computes.
type EngineModel struct {
	// Slots is how many sequences run side by side.
	Slots int
	// PrefillRate is in prompt tokens a second; Chunk bounds the prompt tokens
	// of one step.
	PrefillRate float64
	Chunk       int
	// StepBase and StepEach are the time of a decode step and what each
	// sequence adds to it.
	StepBase, StepEach time.Duration
	// StepTokens is how many tokens one simulated step decodes.
	StepTokens int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// QueueLimit is how many requests wait before the engine refuses; 0 means
	// that it never does.
	QueueLimit int
}

// engine is a backend server with continuous batching and chunked prefill.
type engine struct {
	EngineModel
	router.Candidate
	sim     *simulator
	cache   *prefixCache
	waiting []*job
	running []*job
	active  bool
	dead    bool
	// underWay counts the requests that a baseline sent here.
	underWay int

	prefilled, recomputed, generated int64
	busy                             time.Duration
	peak                             int
}

// job is one attempt at an engine.
type job struct {
	blocks           []router.Block
	prompt, output   int
	uncached         int
	firstToken, done func()
	seen             bool
	cancelled        bool
}

// refuses reports whether the engine takes no more requests.
func (e *engine) refuses() bool {
	return e.dead || e.QueueLimit > 0 && len(e.waiting) >= e.QueueLimit
}

// enqueue takes a job in.
func (e *engine) enqueue(j *job) {
	e.waiting = append(e.waiting, j)
	e.peak = max(e.peak, len(e.waiting)+len(e.running))
	e.wake()
}

// wake starts a step unless one is going on.
func (e *engine) wake() {
	if e.active || e.dead {
		return
	}
	e.fill()
	if len(e.running) == 0 {
		return
	}
	e.active = true
	prefill, d := e.plan()
	e.busy += d
	e.sim.after(d, func() {
		e.active = false
		e.finish(prefill)
		e.wake()
	})
}

// fill moves waiting jobs into free slots.
func (e *engine) fill() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.cancelled {
			continue
		}
		held := e.cache.match(j.blocks)
		j.uncached = max(j.prompt-held*blockTokens, 1)
		e.recomputed += int64(j.uncached)
		e.running = append(e.running, j)
	}
}

// plan returns how many prompt tokens the next step computes, and its time.
func (e *engine) plan() (prefill int, d time.Duration) {
	decoding := 0
	for _, j := range e.running {
		if j.uncached == 0 {
			decoding++
		} else {
			prefill += j.uncached
		}
	}
	prefill = min(prefill, e.Chunk)
	d = time.Duration(float64(prefill) / e.EngineModel.PrefillRate * float64(time.Second))
	if decoding > 0 {
		d += time.Duration(e.StepTokens) * (e.StepBase + time.Duration(decoding)*e.StepEach)
	}
	return prefill, d
}

// finish applies a step: decoding sequences gain tokens, then prompts advance.
func (e *engine) finish(prefill int) {
	var ended []*job
	for _, j := range e.running {
		switch {
		case j.cancelled:
			ended = append(ended, j)
		case j.uncached == 0:
			j.output -= e.StepTokens
			e.generated += int64(e.StepTokens)
			if j.output <= 0 {
				ended = append(ended, j)
			}
		default:
			n := min(j.uncached, prefill)
			prefill -= n
			j.uncached -= n
			e.prefilled += int64(n)
			if j.uncached == 0 {
				e.cache.store(j.blocks)
				j.firstToken()
			}
		}
	}
	for _, j := range ended {
		e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
		if !j.cancelled {
			j.done()
		}
	}
}

// report is what the engine says of its load.
func (e *engine) report() router.LoadReport {
	return router.LoadReport{BackendServer: e.BackendServer, Running: len(e.running), Waiting: len(e.waiting)}
}
