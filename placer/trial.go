package placer

import "time"

const (
	// trialShare is the part by which trials may raise the estimated cost of the calls
	// of a pool.
	trialShare = 0.05
	// maxTrialCharge bounds what one trial counts, in usual calls. A server that was
	// far slower is tried again after a bounded number of calls too.
	maxTrialCharge = 8.0
	// maxTrialFailureRate is the failure rate above which a server is not tried: a call
	// that is lost costs more than a slow one.
	maxTrialFailureRate = 0.01
)

// trialBudget is what the calls of a pool have saved for trials, in usual calls. A trial
// sends a call to a server that is chosen only because its measurement is old.
type trialBudget struct{ saved float64 }

// add adds the share of one call.
func (b *trialBudget) add() { b.saved = min(b.saved+trialShare, maxTrialCharge) }

// spend reports whether a trial may take the place of the best server, and spends
// what it costs more.
func (b *trialBudget) spend(best, trial estimate) bool {
	charge := min(trial.cost/best.cost-1, maxTrialCharge)
	if charge > b.saved {
		return false
	}
	b.saved -= max(charge, 0)
	return true
}

// trialCost returns the cost of a call at a server of a plain service where its
// measurement counts for less the older it is. plainMs is the part of the estimated
// cost that was measured. A server without a free slot is not tried, nor one whose calls
// failed recently.
func (s *serverState) trialCost(e estimate, l Load, plainMs float64, now time.Time) float64 {
	if l.Running >= max(s.Slots, 1) || s.failureRate.get(now) > maxTrialFailureRate {
		return e.cost
	}
	return e.cost - plainMs*(1-remaining(now.Sub(s.triedAt)))
}

// budget returns the trial budget of a pool. The caller holds mu.
func (p *Placer) budget(key pool) *trialBudget {
	b := p.trials[key]
	if b == nil {
		b = &trialBudget{}
		p.trials[key] = b
	}
	return b
}

// orTrial returns the best server for a call at a plain service, or the one whose
// trial is due. A call that has failed elsewhere is not used for a trial. The caller
// holds mu.
func (p *Placer) orTrial(best, trial estimate, r *Request) estimate {
	if best.state.Engine {
		return best
	}
	b := p.budget(pool{r.Service, r.Version})
	b.add()
	if len(r.Exclude) == 0 && trial.state != best.state && b.spend(best, trial) {
		p.trialsMade.Inc()
		return trial
	}
	return best
}
