package forwarder

import (
	"errors"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
)

// errUnidentified reports a response that may belong to an earlier call on the
// connection: it bears no id, while the responses before it did.
var errUnidentified = errors.New("an answer without an id came on a connection that earlier calls used")

// isRefusal reports whether a response states that its backend server ran nothing.
func isRefusal(reply *describer.Reply, status int) bool {
	return reply.NotRun || status == http.StatusMisdirectedRequest
}

// countForeign counts a response to another call, which its server wrote once too often or
// late.
func countForeign(reply *describer.Reply, status int) {
	if isRefusal(reply, status) {
		foreignRefusals.Inc()
	} else {
		foreignResponses.Inc()
	}
}

// checkUnidentified checks a response without an id, which follows the given number of
// responses to other calls. The first response on a new connection can only belong to the
// first call. On a connection that earlier calls used, it may be the repetition of a
// response to one of them, and the call may be running: then only a refusal is accepted,
// of a call that may run more than once.
//
// The connection is not used again, so that the responses on a connection that earlier
// calls used all bore ids.
func (x *exchange) checkUnidentified(conn *connector.Conn, reply *describer.Reply, status, discarded int) error {
	conn.DisableReuse()
	refuses := isRefusal(reply, status)
	if refuses {
		x.f.unidentified.add(conn.Address())
	}
	switch {
	case !conn.Reused() && discarded == 0, refuses && x.route.MayRepeat():
		return nil
	default:
		return errUnidentified
	}
}

// reuse returns whether the call may use a connection that earlier calls used. A call
// without an id must not, since its response could not be told from theirs. Nor must a call
// that may run once only, at a backend server whose refusals bear no id.
func (x *exchange) reuse(address string) connector.Reuse {
	if x.call.ID == "" || !x.route.MayRepeat() && x.f.unidentified.has(address) {
		return connector.Fresh
	}
	return connector.Pooled
}

// addressSet is the set of the addresses of backend servers that have sent a refusal
// without an id. Its zero value is empty. It is safe for concurrent use.
type addressSet struct {
	mu      sync.RWMutex
	members map[string]struct{}
}

// has reports whether the set contains an address.
func (s *addressSet) has(address string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.members[address]
	return ok
}

// add adds an address.
func (s *addressSet) add(address string) {
	if s.has(address) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil {
		s.members = make(map[string]struct{})
	}
	s.members[address] = struct{}{}
}

// retain removes the addresses at which no backend server of the fleet is listed.
func (s *addressSet) retain(fl *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) == 0 {
		return
	}
	listed := make(map[string]struct{}, len(s.members))
	for _, in := range fl.servers {
		if _, ok := s.members[in.Address]; ok {
			listed[in.Address] = struct{}{}
		}
	}
	s.members = listed
}

var (
	foreignRefusals  = metrics.NewCounter(`cyclamen_forwarder_foreign_answers_total{kind="refusal"}`)
	foreignResponses = metrics.NewCounter(`cyclamen_forwarder_foreign_answers_total{kind="response"}`)
)
