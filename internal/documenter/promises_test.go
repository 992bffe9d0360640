package documenter_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const promises = root + "/docs/PROMISES.md"

var (
	rowPattern     = regexp.MustCompile(`^\| ([PF][0-9]+) \|.*\| (proved|partly|not proved)[^|]*\|$`)
	headingPattern = regexp.MustCompile(`^### ([PF][0-9]+)$`)
	commandPattern = regexp.MustCompile(`^go test -count=1 \./(\S+) -run '([^']+)'$`)
	namePattern    = regexp.MustCompile(`^(Test\w+)(?:/(\w+))?$`)
)

// TestPromisesNameTestsThatExist checks that every command in docs/PROMISES.md
// names existing tests, that each promise has a row, and that each row that
// claims a proof has a command.
func TestPromisesNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(promises)
	if err != nil {
		t.Fatal(err)
	}
	statuses := make(map[string]string)
	commands := make(map[string]int)
	row := ""
	for i, line := range strings.Split(string(page), "\n") {
		if m := rowPattern.FindStringSubmatch(line); m != nil {
			statuses[m[1]] = m[2]
		} else if m := headingPattern.FindStringSubmatch(line); m != nil {
			row = m[1]
		} else if strings.HasPrefix(line, "go test") {
			commands[row]++
			if err := checkCommand(line); err != nil {
				t.Errorf("docs/PROMISES.md:%d: %v", i+1, err)
			}
		}
	}
	checkRows(t, statuses, commands)
}

// checkRows compares the rows of the table with the commands under the headings.
func checkRows(t *testing.T, statuses map[string]string, commands map[string]int) {
	t.Helper()
	for n := 1; n <= 8; n++ {
		if id := fmt.Sprintf("P%d", n); statuses[id] == "" {
			t.Errorf("docs/PROMISES.md: promise %s has no row with a status", id)
		}
	}
	for id, status := range statuses {
		if status != "not proved" && commands[id] == 0 {
			t.Errorf("docs/PROMISES.md: %s is %s without a command", id, status)
		}
	}
	for id := range commands {
		if statuses[id] == "" {
			t.Errorf("docs/PROMISES.md: commands of %q belong to no row", id)
		}
	}
}

// checkCommand returns an error unless every test that the command names
// exists in the package that it names.
func checkCommand(line string) error {
	m := commandPattern.FindStringSubmatch(line)
	if m == nil {
		return fmt.Errorf("%q is not a command of the form go test -count=1 ./PACKAGE -run 'NAMES'", line)
	}
	folder := filepath.Join(root, m[1])
	tests, err := testsIn(folder)
	if err != nil {
		return err
	}
	var errs []error
	for _, name := range strings.Split(m[2], "|") {
		if err := checkName(folder, tests, name); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", m[1], err))
		}
	}
	return errors.Join(errs...)
}

// checkName returns an error unless the test, and the scenario script if the
// name has one, exists in folder. tests holds the test functions in folder.
func checkName(folder string, tests map[string]bool, name string) error {
	m := namePattern.FindStringSubmatch(name)
	if m == nil {
		return fmt.Errorf("%q is not a test name", name)
	}
	if !tests[m[1]] {
		return fmt.Errorf("there is no test %s", m[1])
	}
	if m[2] == "" {
		return nil
	}
	_, err := os.Stat(filepath.Join(folder, "testdata", m[2]+".txtar"))
	return err
}

// testsIn returns the names of the functions in the test files in folder.
func testsIn(folder string) (map[string]bool, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		return nil, err
	}
	tests := make(map[string]bool)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				tests[f.Name.Name] = true
			}
		}
	}
	return tests, nil
}
