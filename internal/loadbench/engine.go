package loadbench

import (
	"slices"
	"time"

	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/router"
)

// EngineModel describes the speed and the limits of an engine.
type EngineModel struct {
	// Slots is the number of sequences that run at the same time.
	Slots int
	// PrefillRate is in prompt tokens per second; PrefillChunk is the maximum
	// number of prompt tokens in one step.
	PrefillRate  float64
	PrefillChunk int
	// StepBase is the time of a decode step and StepPerSequence the time that
	// each sequence adds to it.
	StepBase, StepPerSequence time.Duration
	// StepTokens is the number of tokens that one simulated step decodes for
	// each sequence.
	StepTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// QueueLimit is the number of waiting requests from which the engine
	// refuses more; 0 means no limit.
	QueueLimit int
}

// engine models a backend server with continuous batching and chunked prefill.
type engine struct {
	EngineModel
	router.Candidate
	sim     *sequencer.Timeline
	cache   *prefixCache
	waiting []*job
	running []*job
	active  bool
	down    bool
	// inFlight counts the requests in flight that a baseline policy sent here.
	inFlight int

	prefilled, recomputed, generated int64
	busy                             time.Duration
	peakRequests                     int
}

// job is an attempt as the engine sees it.
type job struct {
	blocks               []router.Block
	prompt, output       int
	uncachedTokens       int
	onFirstToken, onDone func()
	firstTokenSeen       bool
	cancelled            bool
}

// refuses reports whether the engine refuses a new request.
func (e *engine) refuses() bool {
	return e.down || e.QueueLimit > 0 && len(e.waiting) >= e.QueueLimit
}

// enqueue adds a job to the queue.
func (e *engine) enqueue(j *job) {
	e.waiting = append(e.waiting, j)
	e.peakRequests = max(e.peakRequests, len(e.waiting)+len(e.running))
	e.startStep()
}

// startStep starts a step unless one is in progress or there is nothing to run.
func (e *engine) startStep() {
	if e.active || e.down {
		return
	}
	e.fillSlots()
	if len(e.running) == 0 {
		return
	}
	e.active = true
	prefill, d := e.planStep()
	e.busy += d
	e.sim.After(d, func() {
		e.active = false
		e.applyStep(prefill)
		e.startStep()
	})
}

// fillSlots moves waiting jobs into free slots.
func (e *engine) fillSlots() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.cancelled {
			continue
		}
		cached := e.cache.match(j.blocks)
		j.uncachedTokens = max(j.prompt-cached*blockTokens, 1)
		e.recomputed += int64(j.uncachedTokens)
		e.running = append(e.running, j)
	}
}

// planStep returns how many prompt tokens the next step computes, and its
// duration.
func (e *engine) planStep() (prefill int, d time.Duration) {
	decoding := 0
	for _, j := range e.running {
		if j.uncachedTokens == 0 {
			decoding++
		} else {
			prefill += j.uncachedTokens
		}
	}
	prefill = min(prefill, e.PrefillChunk)
	d = time.Duration(float64(prefill) / e.EngineModel.PrefillRate * float64(time.Second))
	if decoding > 0 {
		d += time.Duration(e.StepTokens) * (e.StepBase + time.Duration(decoding)*e.StepPerSequence)
	}
	return prefill, d
}

// applyStep applies a finished step: each decoding sequence gains StepTokens
// tokens, and the prefill tokens go to the prompts in order.
func (e *engine) applyStep(prefill int) {
	var ended []*job
	for _, j := range e.running {
		switch {
		case j.cancelled:
			ended = append(ended, j)
		case j.uncachedTokens == 0:
			j.output -= e.StepTokens
			e.generated += int64(e.StepTokens)
			if j.output <= 0 {
				ended = append(ended, j)
			}
		default:
			n := min(j.uncachedTokens, prefill)
			prefill -= n
			j.uncachedTokens -= n
			e.prefilled += int64(n)
			if j.uncachedTokens == 0 {
				e.cache.store(j.blocks)
				j.onFirstToken()
			}
		}
	}
	for _, j := range ended {
		e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
		if !j.cancelled {
			j.onDone()
		}
	}
}

// report returns the engine's load report.
func (e *engine) report() router.LoadReport {
	return router.LoadReport{BackendServer: e.BackendServer, Running: len(e.running), Waiting: len(e.waiting)}
}
