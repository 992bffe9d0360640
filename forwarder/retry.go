package forwarder

// retryDenial is why a call is not sent to another backend server; it is empty if the
// call may be.
type retryDenial string

// Reasons against another attempt.
const (
	deniedByEnd       retryDenial = "the call has ended"
	deniedByIsolation retryDenial = "the call may end backend servers"
	deniedByAttempts  retryDenial = "no attempts are left"
	deniedByEvents    retryDenial = "the last event has no id"
	deniedByKind      retryDenial = "the call may run once"
	deniedByBudget    retryDenial = "the retry budget is spent"
)

// retryDenial returns why the call may not be sent to another backend server after an
// attempt with the given result. It spends a retry from the budget, except after an
// attempt that reached no backend server.
func (x *exchange) retryDenial(result attemptResult) retryDenial {
	if x.ctx.Err() != nil {
		return deniedByEnd
	}
	if !x.maySendAfterLoss() {
		return deniedByIsolation
	}
	switch {
	case x.isUnresumable():
		return deniedByEvents
	case result == unsent && x.unsent >= maxUnreachable,
		result == refused && x.sends-x.unsent > maxRetriesAfterRefusal:
		return deniedByAttempts
	case result == unsent:
		return ""
	case result != refused && !x.route.MayRepeat():
		return deniedByKind
	case result != refused && x.possibleRuns() >= max(x.route.MaxAttempts, 1):
		return deniedByAttempts
	case !x.f.retries.tryWithdraw(x.service):
		return deniedByBudget
	}
	return ""
}

// possibleRuns returns how many attempts may have run if the current one is counted.
func (x *exchange) possibleRuns() int {
	if x.hasRun {
		return x.runs
	}
	return x.runs + 1
}
