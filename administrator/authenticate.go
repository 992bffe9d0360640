package administrator

import (
	"context"
	"net/http"
	"strings"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// authenticate returns a handler that refuses requests without a known
// operator's token, and passes the others to next with the operator's name in
// their context.
func (h *handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator := configurer.OperatorOf(h.tokens, token)
		if !ok || operator == "" {
			unauthenticatedRequests.Inc()
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, refuser.NotRun(refuser.Unauthenticated, "the operator's token is missing or unknown",
				"send a token whose hash stands in operators.tokens of this host's settings"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// operator returns the name of the operator who sent r.
func operator(r *http.Request) identifier.Operator {
	name, _ := r.Context().Value(operatorKey{}).(identifier.Operator)
	return name
}
