package node

import (
	"testing"

	"cyclamenhub.org/platform"
)

// TestMachinesBoundConnections guards against callers' connections beyond a machine's memory
// or descriptors, and against a machine without settings that takes none.
func TestMachinesBoundConnections(t *testing.T) {
	for _, tc := range []struct {
		memory      int64
		descriptors int
		want        int
	}{
		{284 << 20, 3900, 1950}, {144 << 20, 3900, 1024}, {284 << 20, 0, 2019}, {0, 100, 50}, {1 << 10, 1, 1},
	} {
		o := callerOptions(&platform.Settings{MemoryBytes: tc.memory, Descriptors: tc.descriptors})
		if o.Connections != tc.want || o.HeadMemory <= 0 {
			t.Errorf("%d bytes and %d descriptors: %d connections, want %d, and %d bytes of headers", tc.memory, tc.descriptors, o.Connections, tc.want, o.HeadMemory)
		}
	}
}
