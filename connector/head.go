package connector

import "net/http"

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// isStatusCode reports whether a number is a status code that answers a request. 101 answers
// only those that ask for another protocol, which none of ours does.
func isStatusCode(n int) bool {
	return n >= minStatus && n <= maxStatus && n != http.StatusSwitchingProtocols
}
