package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/platform/standin"
)

// TestOddEntriesOfListDisturbNoCall guards against hosts that do not follow the list of
// backend servers, or call addresses that are none, since another writer left entries in
// it. It checks the whole way, from the keeper that reads the list to the calls.
func TestOddEntriesOfListDisturbNoCall(t *testing.T) {
	s := newSystem(t)
	odd := func(address, fields string) string {
		return `{"id":"odd","service":"cases","address":"` + address + `","zone":"a","version":"v1","slots":8,"state":"ready"` + fields + `}`
	}
	s.cloud.Odd = []string{
		odd("127.7.0.9:80", `,"models":`+strings.Repeat("[", 1_000_000)+strings.Repeat("]", 1_000_000)),
		odd("127.7.0.9:80", `,"born":1e400`), odd("127.7.0.9:80", `,"coldRemainingMs":NaN`), odd("127.7.0.9:65536", ""), odd("127.7.0.9:0", ""),
	}
	s.startKeepers(true)
	s.start(entryA, RunEntry, false)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	s.awaitReady(entryA)
	for range 20 {
		began := time.Now()
		if status, body := s.call("k1"); status != http.StatusOK || time.Since(began) > time.Second {
			t.Errorf("call: status %d after %v, body %q", status, time.Since(began), body)
		}
	}
}
