package dispatcher

import (
	"strings"

	"cyclamenhub.org/identifier"
)

// routePattern is a route whose path may contain wildcards: "{name}" matches
// one segment, and a final "{name...}" matches the rest.
type routePattern struct {
	method   string
	segments []string
}

func newRoutePattern(r identifier.Route) routePattern {
	method, path, _ := strings.Cut(string(r), " ")
	return routePattern{method: method, segments: segmentsOf(path)}
}

// segmentsOf splits a path and ignores a trailing slash.
func segmentsOf(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// matches reports whether the pattern matches the route of a call.
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
