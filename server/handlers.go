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

// handler serves a request of an authenticated customer.
type handler func(w http.ResponseWriter, r *http.Request, c *configurer.Customer)

// authenticated wraps h: it looks up the customer by the API key and refuses
// requests that have no valid key.
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

// generate serves a generation request, or resumes its stream if the caller
// sends the id of its last event.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *configurer.Customer, chat bool) {
	n, resume, refusal := parseLastEvent(r.Header)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	if id := r.Header.Get(RequestHeader); resume && id != "" {
		s.resumeStream(w, r, c, identifier.RequestID(id), n)
		return
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	defer s.release(body)
	q, refusal := s.parseGeneration(r, c, body.bytes, chat)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// parseGeneration decodes a generation request.
func (s *Server) parseGeneration(r *http.Request, c *configurer.Customer, body []byte, chat bool) (*dispatcher.Request, *refuser.Refusal) {
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
	case g.singleText():
		q.Kind = dispatcher.Text{Chat: chat}
	default:
		q.Kind = dispatcher.Call{}
	}
	return q, nil
}

// callPlainService forwards a call to a plain service.
func (s *Server) callPlainService(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	defer s.release(body)
	q, refusal := s.parsePlainCall(r, c, body.bytes)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	s.dispatch(w, r, q)
}

// parsePlainCall builds the request for a call to a plain service.
func (s *Server) parsePlainCall(r *http.Request, c *configurer.Customer, body []byte) (*dispatcher.Request, *refuser.Refusal) {
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
	q.Body, q.Header = body, plainServiceHeader(r.Header)
	// A caller that sends an idempotency key requests at-most-once execution,
	// even if the route is not listed as non-idempotent.
	q.Kind = dispatcher.Call{NonIdempotent: q.Key != "" || s.opt.Tables.Load().IsNonIdempotent(service.Name, q.Route)}
	return q, nil
}

// consumedHeaders are the headers that the server reads and does not forward.
var consumedHeaders = []string{"Authorization", RequestHeader, DeadlineHeader, PriorityHeader, dispatcher.KeyHeader, "Expect"}

// plainServiceHeader returns the headers to forward to a plain service.
func plainServiceHeader(h http.Header) http.Header {
	out := dispatcher.ForwardedHeader(h)
	for _, k := range consumedHeaders {
		out.Del(k)
	}
	return out
}

// dispatch passes q to the dispatcher and sends its answer or refusal.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, q *dispatcher.Request) {
	w.Header().Set(RequestHeader, string(q.ID))
	if s.stopping.Load() {
		s.refuse(w, refuser.NotRun(refuser.Stopping, "this host is stopping", "send the request again; another host takes it").After(pollInterval))
		return
	}
	out := &sink{w: w, clock: s.opt.Clock}
	if refusal := s.opt.Dispatcher.Do(r.Context(), q, out); refusal != nil {
		s.endWithRefusal(out, refusal)
	}
}

// endWithRefusal sends the refusal that ended a request, even if part of the
// answer has been sent.
func (s *Server) endWithRefusal(out *sink, f *refuser.Refusal) {
	if !out.headerSent {
		s.refuse(out.w, f)
		return
	}
	s.counters.countRefusal(f.Kind())
	out.abort(f)
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

// requestStatus reports the status of a request, or resumes its stream if the
// caller sends the id of its last event.
func (s *Server) requestStatus(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	id := identifier.RequestID(chi.URLParam(r, "id"))
	n, resume, refusal := parseLastEvent(r.Header)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	if resume {
		s.resumeStream(w, r, c, id, n)
		return
	}
	_, status, ok := s.find(r, c, id)
	if !ok {
		s.refuse(w, unknownRequest())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func unknownRequest() *refuser.Refusal {
	return refuser.MayHaveRun(refuser.NotFound, "no request with that id is known", "check the id; finished requests are forgotten after a while")
}

// storedAnswer sends the complete answer of a request; it waits for the answer
// if the request still runs.
func (s *Server) storedAnswer(w http.ResponseWriter, r *http.Request, c *configurer.Customer) {
	remote, _, ok := s.find(r, c, identifier.RequestID(chi.URLParam(r, "id")))
	if !ok {
		s.refuse(w, unknownRequest())
		return
	}
	refusal, err := dispatcher.SendAnswer(r.Context(), remote, &sink{w: w, clock: s.opt.Clock})
	switch {
	case refusal != nil:
		s.refuse(w, refusal)
	case err != nil:
		s.refuse(w, unknownRequest())
	}
}

// find returns a request of a customer, on this host or on the host that owns
// it.
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

// resumeStream resumes a stream after event n.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request, c *configurer.Customer, id identifier.RequestID, n int) {
	w.Header().Set(RequestHeader, string(id))
	remote, _, ok := s.find(r, c, id)
	if !ok {
		s.refuse(w, unknownRequest())
		return
	}
	out := &sink{w: w, clock: s.opt.Clock}
	refusal, err := dispatcher.Follow(r.Context(), remote, n, out)
	switch {
	case refusal != nil:
		s.endWithRefusal(out, refusal)
	case err != nil && !out.headerSent:
		s.refuse(w, refuser.MayHaveRun(refuser.Failed, "the host that runs the request is out of reach", "resume the stream again"))
	case err != nil:
		// The caller sees a stream without its terminal marker and reconnects.
		panic(http.ErrAbortHandler)
	}
}
