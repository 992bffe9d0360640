package claimer

import "time"

// Bounds of the tokens that are remembered as given back.
const (
	// spentFor is how long a token is remembered: longer than an entry of the
	// same call may be late.
	spentFor = time.Minute
	// maxSpent bounds the remembered tokens; the oldest are forgotten.
	maxSpent = 10_000
)

// spentToken is a token whose claim was given back.
type spentToken struct {
	token Token
	until time.Duration
}

// spentTokens remembers the tokens that were given back, so that a late entry
// cannot claim a key again for a call that has ended. Its zero value is empty.
type spentTokens struct {
	order []spentToken
	known map[Token]bool
}

// add remembers a token until then.
func (s *spentTokens) add(token Token, until time.Duration) {
	if s.known[token] {
		return
	}
	if s.known == nil {
		s.known = make(map[Token]bool)
	}
	s.known[token] = true
	s.order = append(s.order, spentToken{token: token, until: until})
	if len(s.order) > maxSpent {
		s.dropOldest()
	}
}

// has reports whether a token is remembered.
func (s *spentTokens) has(token Token) bool { return s.known[token] }

// expire forgets the tokens whose time has passed.
func (s *spentTokens) expire(now time.Duration) {
	for len(s.order) > 0 && s.order[0].until < now {
		s.dropOldest()
	}
}

// dropOldest forgets the oldest token.
func (s *spentTokens) dropOldest() {
	delete(s.known, s.order[0].token)
	s.order = s.order[1:]
}
