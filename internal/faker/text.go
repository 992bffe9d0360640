package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary lists the tokens of the fake model. Some tokens need escapes in
// JSON or have several bytes for one character.
var vocabulary = [...]string{
	"the ", "grant ", "choir ", "asks ", "for ", "\"light\" ", "café ", "\n", "and ", "bread ",
	"price: 5€ ", "we ", "thank ", "you ", "Dzintars ", "šķūnis ", "a\\b ", "🎈 ", "in ", "spring. ",
}

// token returns token n, counted from 0, of the response to the prompt with the
// given hash.
func token(promptHash uint64, n int) string {
	var b [20]byte
	h := xxhash.Sum64(strconv.AppendUint(b[:0], promptHash+uint64(n)*0x9e3779b97f4a7c15, 16))
	return vocabulary[h%uint64(len(vocabulary))]
}

// Text returns the first n tokens of the response to prompt.
func Text(prompt string, n int) string {
	var s strings.Builder
	h := xxhash.Sum64String(prompt)
	for i := range n {
		s.WriteString(token(h, i))
	}
	return s.String()
}

// countTokens returns the number of tokens in delivered. It reports false if
// delivered is not a prefix of the response.
func countTokens(promptHash uint64, delivered string) (int, bool) {
	n := 0
	for delivered != "" {
		rest, ok := strings.CutPrefix(delivered, token(promptHash, n))
		if !ok {
			return 0, false
		}
		delivered = rest
		n++
	}
	return n, true
}
