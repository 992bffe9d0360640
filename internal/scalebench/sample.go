package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the resolution in which the proc file system reports
// processor times.
const clockTicksPerSecond = 100

// Positions of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// sample holds the resources that one process has used since its start.
type sample struct {
	at       time.Time
	cpuTime  time.Duration
	resident float64 // MB
	bytes    float64
}

// sampleAll samples every node.
func (f *fleet) sampleAll(ctx context.Context) ([]sample, error) {
	all := make([]sample, len(f.nodes))
	for i, n := range f.nodes {
		s, err := n.sample(ctx)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n.host.Name, err)
		}
		all[i] = s
	}
	return all, nil
}

// sample reads the resource use of the node's process.
func (n *node) sample(ctx context.Context) (sample, error) {
	cpu, err := readCPU(n.process.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	resident, err := readResident(n.process.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	bytes, err := n.peerBytes(ctx)
	return sample{at: time.Now(), cpuTime: cpu, resident: resident, bytes: bytes}, err
}

// readCPU returns the processor time of a process.
func readCPU(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("process %d: too few fields in stat", pid)
	}
	var ticks int64
	for _, i := range []int{statUserTime, statSystemTime} {
		t, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += t
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// readResident returns the resident memory of a process in MB.
func readResident(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(b), "VmRSS:")
	if !ok {
		return 0, fmt.Errorf("process %d: no VmRSS line in status", pid)
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024, err
}

// peerBytes returns the number of bytes the node has exchanged with its peers,
// from the messenger's metrics.
func (n *node) peerBytes(ctx context.Context) (float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.url(callerPort, "/metrics"), nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return sumMetrics(resp.Body, "cyclamen_messenger_bytes_")
}

// sumMetrics returns the sum of the metrics whose names start with prefix.
func sumMetrics(r io.Reader, prefix string) (float64, error) {
	var sum float64
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), " ")
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, sc.Err()
}

// roles are the roles in the order in which they are printed.
var roles = []string{"keeper", "relay", "entry"}

// costs returns the mean cost of each role between two samples.
func (f *fleet) costs(before, after []sample) []roleCost {
	byRole := make(map[string]*roleCost)
	for _, r := range roles {
		byRole[r] = &roleCost{Role: r}
	}
	for i, n := range f.nodes {
		byRole[f.role(n)].add(before[i], after[i])
	}
	var out []roleCost
	for _, r := range roles {
		if c := byRole[r]; c.Processes > 0 {
			out = append(out, c.mean())
		}
	}
	return out
}

// add adds the cost of one process between two samples.
func (c *roleCost) add(before, after sample) {
	elapsed := after.at.Sub(before.at).Seconds()
	c.Processes++
	c.CorePercent += 100 * (after.cpuTime - before.cpuTime).Seconds() / elapsed
	c.ResidentMB += after.resident
	c.BytesPerSecond += (after.bytes - before.bytes) / elapsed
}

// mean returns the mean over the processes added.
func (c *roleCost) mean() roleCost {
	n := float64(c.Processes)
	m := *c
	m.CorePercent, m.ResidentMB, m.BytesPerSecond = c.CorePercent/n, c.ResidentMB/n, c.BytesPerSecond/n
	return m
}
