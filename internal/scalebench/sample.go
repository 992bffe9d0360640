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

// clockTicks is the unit of processor times in the proc file system.
const clockTicks = 100

// Positions of fields in /proc/PID/stat, counted after the command name.
const (
	statUser   = 11
	statSystem = 12
)

// sample is what one process has spent so far.
type sample struct {
	at       time.Time
	cpu      time.Duration
	resident float64 // MB
	bytes    float64
}

// take samples every node.
func (f *fleet) take(ctx context.Context) ([]sample, error) {
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

// sample reads what the node's process has spent.
func (n *node) sample(ctx context.Context) (sample, error) {
	cpu, err := readCPU(n.process.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	resident, err := readResident(n.process.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	bytes, err := n.messengerBytes(ctx)
	return sample{at: time.Now(), cpu: cpu, resident: resident, bytes: bytes}, err
}

// readCPU returns the processor time of a process.
func readCPU(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystem {
		return 0, fmt.Errorf("process %d: short stat line", pid)
	}
	var ticks int64
	for _, i := range []int{statUser, statSystem} {
		t, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += t
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// readResident returns the resident memory of a process in MB.
func readResident(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(b), "VmRSS:")
	if !ok {
		return 0, fmt.Errorf("process %d: no resident memory", pid)
	}
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024, err
}

// messengerBytes returns the bytes the node has exchanged with its peers.
func (n *node) messengerBytes(ctx context.Context) (float64, error) {
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

// sumMetrics adds up the metrics whose names start with prefix.
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

// roles are shown in this order.
var roles = []string{"keeper", "relay", "entry"}

// costs returns what each role spent between two samples.
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

// add adds what one process spent between two samples.
func (c *roleCost) add(before, after sample) {
	elapsed := after.at.Sub(before.at).Seconds()
	c.Processes++
	c.CoreShare += 100 * (after.cpu - before.cpu).Seconds() / elapsed
	c.ResidentMB += after.resident
	c.BytesPerSecond += (after.bytes - before.bytes) / elapsed
}

// mean returns what one process spent on average.
func (c *roleCost) mean() roleCost {
	n := float64(c.Processes)
	m := *c
	m.CoreShare, m.ResidentMB, m.BytesPerSecond = c.CoreShare/n, c.ResidentMB/n, c.BytesPerSecond/n
	return m
}
