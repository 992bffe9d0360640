package claimer

import "time"

// Bounds of the remembered tokens of released claims.
const (
	// releasedTokenTTL is how long a token is remembered. It is longer than an
	// entry of the same call can be delayed.
	releasedTokenTTL = time.Minute
	// maxReleasedTokens bounds the number of remembered tokens; the oldest are
	// dropped first.
	maxReleasedTokens = 10_000
)

// releasedToken is the token of a released claim, with its expiry time on the
// table's clock.
type releasedToken struct {
	token   Token
	expires time.Duration
}

// releasedTokenSet is the set of tokens of released claims. It prevents a
// delayed entry from claiming a key for a call that has ended. Its zero value
// is empty.
type releasedTokenSet struct {
	order []releasedToken
	set   map[Token]bool
}

// add remembers a token until the table's clock passes expires.
func (s *releasedTokenSet) add(token Token, expires time.Duration) {
	if s.set[token] {
		return
	}
	if s.set == nil {
		s.set = make(map[Token]bool)
	}
	s.set[token] = true
	s.order = append(s.order, releasedToken{token: token, expires: expires})
	if len(s.order) > maxReleasedTokens {
		s.dropOldest()
	}
}

// has reports whether a token is remembered.
func (s *releasedTokenSet) has(token Token) bool { return s.set[token] }

// expire removes the tokens that have expired at time now.
func (s *releasedTokenSet) expire(now time.Duration) {
	for len(s.order) > 0 && s.order[0].expires < now {
		s.dropOldest()
	}
}

// dropOldest removes the oldest token.
func (s *releasedTokenSet) dropOldest() {
	delete(s.set, s.order[0].token)
	s.order = s.order[1:]
}
