package server

import (
	"errors"
	"net/http"
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
	q, refusal := s.generation(w, r, c, chat)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// generation reads a generation request.
func (s *Server) generation(w http.ResponseWriter, r *http.Request, c *configurer.Customer, chat bool) (*dispatcher.Request, *refuser.Refusal) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
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
	q, refusal := s.plainCall(w, r, c)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// plainCall reads a call of a plain service.
func (s *Server) plainCall(w http.ResponseWriter, r *http.Request, c *configurer.Customer) (*dispatcher.Request, *refuser.Refusal) {
	name := chi.URLParam(r, "service")
	service, ok := s.opt.Tables.Load().Service(identifier.Service(name))
	if !ok || service.Kind != configurer.PlainService {
		return nil, refuser.NotRun(refuser.NotFound, "there is no such plain service", "correct the name after /services/")
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	q, refusal := s.newRequest(r, c, service)
	if refusal != nil {
		return nil, refusal
	}
	prefix := "/services/" + name
	q.Path = strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	q.Route = identifier.Route(r.Method + " " + strings.TrimPrefix(r.URL.Path, prefix))
	if r.URL.RawQuery != "" {
		q.Path += "?" + r.URL.RawQuery
	}
	q.Body, q.Header = body, callHeader(r.Header)
	q.Kind = dispatcher.Call{NonIdempotent: service.IsNonIdempotent(q.Route)}
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
	status, ok := s.opt.Dispatcher.Lookup(c.Name, id)
	if !ok {
		s.refuse(w, notKnown())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func notKnown() *refuser.Refusal {
	return refuser.MayHaveRun(refuser.NotFound, "no request with that id is known", "check the id; finished requests are forgotten after a while")
}

// storedAnswer sends the answer of a finished request once more.
func (s *Server) storedAnswer(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	a, ok := s.opt.Dispatcher.Stored(c.Name, identifier.RequestID(chi.URLParam(r, "id")))
	if !ok {
		s.refuse(w, notKnown())
		return
	}
	out := &sink{w: w, clock: s.opt.Clock}
	if out.Begin(a.Head) == nil {
		_ = out.Write(a.Body)
	}
}

// follow picks a stream up again after event n.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, c *configurer.Customer, id identifier.RequestID, n int) {
	w.Header().Set(RequestHeader, string(id))
	out := &sink{w: w, clock: s.opt.Clock}
	refusal, err := s.opt.Dispatcher.Follow(r.Context(), c.Name, id, n, out)
	if err != nil && !errors.Is(err, r.Context().Err()) {
		return
	}
	if refusal != nil {
		s.finish(out, refusal)
	}
}
