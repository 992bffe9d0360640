package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*system) (bool, error){
	"cutoff":    runCutOff,
	"endless":   runEndless,
	"leaving":   runLeaving,
	"reborn":    runReborn,
	"reclaimed": runReclaimed,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a case and returns the exit status.
func run(args []string) int {
	if len(args) == 4 && args[0] == workerCase {
		fmt.Fprintln(os.Stderr, serveAsWorker(args[1], args[2], args[3]))
		return notRun
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return notRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	s, err := newSystem(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("could not run: %v", err)
		return notRun
	}
	defer s.end()
	isBroken, err := cases[args[0]](s)
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return notRun
	case isBroken:
		rec.note("result: the rule is broken")
		return broken
	default:
		rec.note("result: the rule held")
		return held
	}
}

// record is what a case writes down. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// note writes a line and shows it on the standard output.
func (r *record) note(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close completes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	r.file.Close()
}
