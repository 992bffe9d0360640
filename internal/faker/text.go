package faker

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words is the vocabulary of the fake model; some need escapes in JSON.
var words = [...]string{
	"the ", "grant ", "choir ", "asks ", "for ", "\"light\" ", "café ", "\n", "and ", "bread ",
	"price: 5€ ", "we ", "thank ", "you ", "Dzintars ", "šķūnis ", "a\\b ", "🎈 ", "in ", "spring. ",
}

// token returns the text of the n-th token of the answer to prompt.
func token(promptHash uint64, n int) string {
	var b [20]byte
	h := xxhash.Sum64(strconv.AppendUint(b[:0], promptHash+uint64(n)*0x9e3779b97f4a7c15, 16))
	return words[h%uint64(len(words))]
}

// Text returns the first n tokens of the answer to prompt.
func Text(prompt string, n int) string {
	var s strings.Builder
	h := xxhash.Sum64String(prompt)
	for i := range n {
		s.WriteString(token(h, i))
	}
	return s.String()
}

// tokensOf returns how many tokens delivered holds, or false where it is no
// beginning of the answer.
func tokensOf(promptHash uint64, delivered string) (int, bool) {
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
