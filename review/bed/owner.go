package bed

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"
)

// ownerTries is how often the owner of a connection is looked up, since the kernel's
// tables may change while they are read, and ownerPause the time between two tries.
const (
	ownerTries = 20
	ownerPause = 2 * time.Millisecond
)

// OwnerOf returns the name of the machine whose process opened a connection, or "".
func (b *Bed) OwnerOf(c net.Conn) string {
	if !b.opts.Owners {
		return ""
	}
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	for range ownerTries {
		if m := b.ownerOf(remote); m != nil {
			return m.Name
		}
		time.Sleep(ownerPause)
	}
	return ""
}

// ownerOf returns the machine whose process has the local socket with an address, or nil.
func (b *Bed) ownerOf(a netip.AddrPort) *Machine {
	inode := inodeOf(a)
	for _, m := range b.machines() {
		if inode != "" && !m.Ended() && hasSocket(m.PID(), inode) {
			return m
		}
	}
	return nil
}

// inodeOf returns the inode of the local socket with an address, or "".
func inodeOf(a netip.AddrPort) string {
	text, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	ip := a.Addr().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == want {
			return f[9]
		}
	}
	return ""
}

// hasSocket reports whether a process has the socket with an inode.
func hasSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(folder + "/" + e.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
