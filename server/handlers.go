package server

import (
	"net/http"
	"path"
	"strings"

	"github.com/go-chi/chi/v5"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// handler answers a request of an authenticated customer.
type handler func(w http.ResponseWriter, r *http.Request, c *configurer.Customer)

// authenticated finds the customer by the API key.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counters.requests.Inc()
		if s.opt.Tables.Load() == nil {
			s.refuse(w, refuser.NotRun(refuser.NoBackendServer, "this host has no configuration yet", "come back after the time in Retry-After").After(unconfiguredRetry))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		var c *configurer.Customer
		if ok {
			c, ok = s.opt.Tables.Load().Customer(key)
		}
		if !ok {
			s.refuse(w, refuser.NotRun(refuser.Unauthenticated, "the API key is missing or unknown", "send 'Authorization: Bearer KEY' with a key of a customer"))
			return
		}
		h(w, r, c)
	}
}

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	s.generate(w, r, c, true)
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	s.generate(w, r, c, false)
}

// generate answers a generation.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *configurer.Customer, chat bool) {
	n, again, refusal := lastEvent(r.Header)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	if id := r.Header.Get(RequestHeader); again && id != "" {
		s.follow(w, r, c, identifier.RequestID(id), n)
		return
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	defer s.release(body)
	q, refusal := s.generation(r, c, body.bytes, chat)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// generation reads a generation request.
func (s *Server) generation(r *http.Request, c *configurer.Customer, body []byte, chat bool) (*dispatcher.Request, *refuser.Refusal) {
	g, refusal := decodeGeneration(body, chat)
	if refusal != nil {
		return nil, refusal
	}
	service, ok := s.opt.Tables.Load().Service(g.Model)
	if !ok || service.Kind != configurer.ModelService {
		return nil, refuser.NotRun(refuser.NotFound, "there is no such model", "GET /v1/models lists the models")
	}
	q, refusal := s.newRequest(r, c, service)
	if refusal != nil {
		return nil, refusal
	}
	q.Path, q.Body, q.Route = r.URL.Path, body, identifier.Route("POST "+r.URL.Path)
	q.Header = http.Header{"Content-Type": {"application/json"}}
	q.MaxTokens = max(g.MaxTokens, g.MaxCompletionTokens)
	q.Prompt = g.Prompt
	if chat {
		q.Prompt = g.Messages
	}
	switch {
	case g.streams():
		q.Kind, q.Reconnectable = dispatcher.Stream{Chat: chat}, true
	case g.single():
		q.Kind = dispatcher.Text{Chat: chat}
	default:
		q.Kind = dispatcher.Call{}
	}
	return q, nil
}

// call passes a call of a plain service through.
func (s *Server) call(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	defer s.release(body)
	q, refusal := s.plainCall(r, c, body.bytes)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// plainCall reads a call of a plain service.
func (s *Server) plainCall(r *http.Request, c *configurer.Customer, body []byte) (*dispatcher.Request, *refuser.Refusal) {
	name := chi.URLParam(r, "service")
	service, ok := s.opt.Tables.Load().Service(identifier.Service(name))
	if !ok || service.Kind != configurer.PlainService {
		return nil, refuser.NotRun(refuser.NotFound, "there is no such plain service", "correct the name after /services/")
	}
	q, refusal := s.newRequest(r, c, service)
	if refusal != nil {
		return nil, refusal
	}
	prefix := "/services/" + name
	q.Path = strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if strings.HasPrefix(q.Path, "//") {
		return nil, malformed("the path begins with two slashes", "write one slash after the service")
	}
	q.Route = identifier.Route(r.Method + " " + path.Clean(strings.TrimPrefix(r.URL.Path, prefix)))
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	q.Body, q.Header = body, callHeader(r.Header)
	// A caller that names a key asks for at most once, also where the route is
	// not listed.
	q.Kind = dispatcher.Call{NonIdempotent: q.Key != "" || s.opt.Tables.Load().IsNonIdempotent(service.Name, q.Route)}
	return q, nil
}

// ownHeaders are read here and not passed on.
var ownHeaders = []string{"Authorization", RequestHeader, DeadlineHeader, PriorityHeader, dispatcher.KeyHeader, "Expect"}

// callHeader returns what goes on to a plain service.
func callHeader(h http.Header) http.Header {
	out := dispatcher.ForwardedHeader(h)
	for _, k := range ownHeaders {
		out.Del(k)
	}
	return out
}

// dispatch hands q to the dispatcher and sends what comes of it.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, q *dispatcher.Request) {
	w.Header().Set(RequestHeader, string(q.ID))
	if s.stopping.Load() {
		s.refuse(w, refuser.NotRun(refuser.Stopping, "this host is stopping", "send the request again; another host takes it").After(pollInterval))
		return
	}
	out := &sink{w: w, clock: s.opt.Clock}
	if refusal := s.opt.Dispatcher.Do(r.Context(), q, out); refusal != nil {
		s.finish(out, refusal)
	}
}

// finish sends the refusal that ended a request, also in the middle of its
// answer.
func (s *Server) finish(out *sink, f *refuser.Refusal) {
	if !out.begun {
		s.refuse(out.w, f)
		return
	}
	s.counters.refused(f.Kind())
	out.fail(f)
}

// models lists the model services.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ *configurer.Customer) {
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range s.opt.Tables.Load().Models() {
		list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: "cyclamenhub"})
	}
	writeJSON(w, http.StatusOK, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      identifier.Service `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	OwnedBy string             `json:"owned_by"`
}

// outcome tells what became of a request, or picks its stream up again.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	id := identifier.RequestID(chi.URLParam(r, "id"))
	n, again, refusal := lastEvent(r.Header)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	if again {
		s.follow(w, r, c, id, n)
		return
	}
	_, status, ok := s.find(r, c, id)
	if !ok {
		s.refuse(w, notKnown())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func notKnown() *refuser.Refusal {
	return refuser.MayHaveRun(refuser.NotFound, "no request with that id is known", "check the id; finished requests are forgotten after a while")
}

// storedAnswer sends the whole answer of a request, once more or once it is
// there.
func (s *Server) storedAnswer(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	remote, _, ok := s.find(r, c, identifier.RequestID(chi.URLParam(r, "id")))
	if !ok {
		s.refuse(w, notKnown())
		return
	}
	refusal, err := dispatcher.SendAnswer(r.Context(), remote, &sink{w: w, clock: s.opt.Clock})
	switch {
	case refusal != nil:
		s.refuse(w, refusal)
	case err != nil:
		s.refuse(w, notKnown())
	}
}

// find returns a customer's request, wherever in the fleet it is.
func (s *Server) find(r *http.Request, c *configurer.Customer, id identifier.RequestID) (dispatcher.Remote, dispatcher.Status, bool) {
	remote, status, ok := s.opt.Dispatcher.Find(c.Name, id)
	if ok && status.State != dispatcher.Moved {
		return remote, status, true
	}
	if s.opt.Finder == nil {
		return remote, status, ok
	}
	return s.opt.Finder.Find(r.Context(), c.Name, id)
}

// follow picks a stream up again after event n.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, c *configurer.Customer, id identifier.RequestID, n int) {
	w.Header().Set(RequestHeader, string(id))
	remote, _, ok := s.find(r, c, id)
	if !ok {
		s.refuse(w, notKnown())
		return
	}
	out := &sink{w: w, clock: s.opt.Clock}
	refusal, err := dispatcher.Follow(r.Context(), remote, n, out)
	switch {
	case refusal != nil:
		s.finish(out, refusal)
	case err != nil:
		// The caller sees a stream without its terminal marker and comes again.
		panic(http.ErrAbortHandler)
	}
}
