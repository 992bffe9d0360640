package connector

import (
	"net/http"
	"strings"
)

// isJoined reports whether a header contains the status line of another response behind its
// own beginning. That happens where the server has cut off the response before within its
// header.
func isJoined(res *http.Response) bool {
	if hasStatusLine(res.Status) {
		return true
	}
	for field := range res.Trailer { // net/http takes these out of the header.
		if hasStatusLine(field) {
			return true
		}
	}
	for _, values := range res.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether text contains a status line: the version of HTTP/1, a
// space and a status of three digits, with or without a reason.
func hasStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if len(rest) >= len("1 200") && isDigit(rest[0]) && rest[1] == ' ' && isStatus(rest[2:]) {
			return true
		}
		text = rest
	}
}

// isStatus reports whether text is a status of three digits, or begins with one and a space.
func isStatus(text string) bool {
	if !isDigit(text[0]) || !isDigit(text[1]) || !isDigit(text[2]) {
		return false
	}
	return len(text) == 3 || text[3] == ' '
}

// isDigit reports whether a byte is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }
