package dispatcher

import (
	"strings"

	"cyclamenhub.org/identifier"
)

// routePattern is a route whose path may hold wildcards: "{name}" stands for
// one segment and a last "{name...}" for the rest.
type routePattern struct {
	method   string
	segments []string
}

func newRoutePattern(r identifier.Route) routePattern {
	method, path, _ := strings.Cut(string(r), " ")
	return routePattern{method: method, segments: segmentsOf(path)}
}

// segmentsOf splits a path, without regard to a trailing slash.
func segmentsOf(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// matches reports whether the pattern covers a call.
func (p routePattern) matches(r identifier.Route) bool {
	method, path, _ := strings.Cut(string(r), " ")
	if method != p.method {
		return false
	}
	got := segmentsOf(path)
	for i, want := range p.segments {
		if strings.HasPrefix(want, "{") && strings.HasSuffix(want, "...}") {
			return true
		}
		if i >= len(got) || want != got[i] && !isWildcard(want) {
			return false
		}
	}
	return len(got) == len(p.segments)
}

func isWildcard(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}
