//go:build crowd

package crowder

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
)

// unreadBytes returns the number of bytes that were sent to an address and that its
// process has not read.
func unreadBytes(t *testing.T, address string) int {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	want, sum := hexAddress(t, address), 0
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == listening {
			continue
		}
		var toSend, toRead int
		if _, err := fmt.Sscanf(f[4], "%x:%x", &toSend, &toRead); err != nil {
			continue // the heading
		}
		switch want {
		case f[1]:
			sum += toRead
		case f[2]:
			sum += toSend
		}
	}
	return sum
}

// listening is the state of a listening socket in the table.
const listening = "0A"

// hexAddress returns an address as it stands in the table.
func hexAddress(t *testing.T, address string) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	ip := slices.Clone(a.IP.To4())
	slices.Reverse(ip)
	return fmt.Sprintf("%X:%04X", []byte(ip), a.Port)
}
