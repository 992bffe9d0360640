package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs are the packages that are built once and put on the scripts' PATH.
var programs = []string{
	"cyclamenhub.org/cmd/cyclamend",
	"cyclamenhub.org/cmd/cyclamenctl",
	"cyclamenhub.org/internal/faker/fakeserver",
}

// binFolder is the folder with the built programs.
var binFolder string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binFolder = dir
	build := exec.Command("go", append([]string{"build", "-o", dir}, programs...)...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Vars = append(env.Vars, addressVars()...)
			env.Setenv("PATH", binFolder+string(filepath.ListSeparator)+env.Getenv("PATH"))
			env.Values[processesKey{}] = newProcesses()
			env.Values[stopTrafficKey{}] = &trafficSwitch{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":   expand,
			"start":    start,
			"signal":   signal,
			"ended":    ended,
			"await":    await,
			"http":     httpCall,
			"traffic":  traffic,
			"deadline": deadline,
		},
	})
}

const (
	// scriptsPerProcess is the number of address sets of one test process.
	scriptsPerProcess = 32
	// addressesPerScript is the number of loopback addresses of each script.
	addressesPerScript = 9
)

var scripts atomic.Int64

// addressVars returns the variables IP1 to IP9, with different addresses for
// each script.
func addressVars() []string {
	n := int64(os.Getpid())*scriptsPerProcess + scripts.Add(1)%scriptsPerProcess
	var vars []string
	for i := 1; i <= addressesPerScript; i++ {
		vars = append(vars, fmt.Sprintf("IP%d=127.%d.%d.%d", i, 16+(n>>8)%200, n%256, i))
	}
	return vars
}
