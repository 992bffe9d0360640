package administrator

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/timer"
)

// handler serves the operators' API.
type handler struct {
	backend Backend
	tokens  []configurer.OperatorToken
	clock   timer.Clock
	log     *slog.Logger
}

// New returns the handler of the operators' API. It authenticates operators by
// tokens and takes the time of their changes from clock.
func New(backend Backend, tokens []configurer.OperatorToken, clock timer.Clock, log *slog.Logger) http.Handler {
	h := &handler{backend: backend, tokens: tokens, clock: clock, log: log}
	r := chi.NewRouter()
	r.NotFound(notFound)
	r.MethodNotAllowed(notFound)
	r.Route("/v1", func(r chi.Router) {
		r.Use(h.authenticate)
		r.Get("/config", h.getConfig)
		r.Put("/config", h.putConfig)
		r.Get("/config/status", h.getStatus)
		r.Get("/config/history", h.getHistory)
		r.Get("/exceptions", h.getExceptions)
		r.Post("/exceptions", h.addException)
		r.Post("/exceptions/{name}/remove", h.removeException)
		r.Get("/audit", h.getAudit)
		r.Get("/rollouts", h.getRollouts)
		r.Post("/rollouts", h.startRollout)
		r.Post("/rollouts/{id}/revert", h.revertRollout)
		r.Get("/evacuations", h.getEvacuations)
		r.Post("/evacuations/{domain}", h.startEvacuation)
		r.Post("/evacuations/{domain}/end", h.endEvacuation)
		r.Get("/members", h.getMembers)
		r.Post("/members", h.changeMembers)
		r.Get("/status", h.getOverview)
	})
	return r
}

// head returns the current state, without the audit trail if the backend is a
// HeadBackend.
func (h *handler) head(ctx context.Context) (reducer.View, error) {
	if b, ok := h.backend.(HeadBackend); ok {
		return b.Head(ctx)
	}
	return h.backend.View(ctx)
}
