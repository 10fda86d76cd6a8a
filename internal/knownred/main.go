// Command knownred runs "go test -json" with its arguments and exits non-zero if a test
// fails that is not listed in KNOWN-RED.txt. It prints the output of each such test, and
// the listed tests with their results.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// testEvent has the fields of a test2json event that are used here.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testName identifies a test, or a package if test is empty.
type testName struct{ pkg, test string }

func (n testName) String() string { return n.pkg + " " + n.test }

func main() {
	known, err := readKnownFailures("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	ok, err := run(os.Args[1:], known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// run runs "go test -json" with args and reports whether every failure is a known one.
func run(args []string, known []testName) (bool, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	ok, failures, evaluateErr := evaluate(out, known, os.Stdout)
	if err := cmd.Wait(); err != nil && failures == 0 {
		return false, fmt.Errorf("go test exited with an error although no test failed: %w", err)
	}
	return ok, evaluateErr
}

// readKnownFailures reads the lines "test: <package> <test>" of the file and ignores all
// others, which describe the entries for people. A missing file is an empty list.
func readKnownFailures(path string) ([]testName, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []testName
	for _, line := range strings.Split(string(b), "\n") {
		rest, ok := strings.CutPrefix(line, "test: ")
		if !ok {
			continue
		}
		f := strings.Fields(rest)
		if len(f) != 2 {
			return nil, fmt.Errorf("%s: %q is not \"test: <package> <test>\"", path, line)
		}
		list = append(list, testName{f[0], f[1]})
	}
	return list, nil
}

// evaluate reads test2json events from r and writes a report to w. It returns whether
// known explains every failure, and the number of failures. A package that fails
// without a failed test, for instance by a build error or a crash, is never ignored.
func evaluate(r io.Reader, known []testName, w io.Writer) (ok bool, failures int, err error) {
	output := map[testName][]string{}
	results := map[testName]string{}
	var order []testName
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var e testEvent
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			// Older versions of the go command print build errors as plain text.
			fmt.Fprintln(w, sc.Text())
			continue
		}
		n := testName{e.Package, e.Test}
		switch e.Action {
		case "output", "build-output":
			output[n] = append(output[n], e.Output)
		case "pass", "fail", "skip":
			results[n] = e.Action
			if e.Action == "fail" {
				failures++
			}
			order = append(order, n)
			if e.Test == "" {
				fmt.Fprintf(w, "%-4s %s\n", e.Action, e.Package)
			}
		case "build-fail":
			fmt.Fprint(w, strings.Join(output[n], ""))
		}
	}
	if err := sc.Err(); err != nil {
		return false, failures, err
	}
	if len(results) == 0 {
		return false, 0, errors.New("go test printed no test results")
	}
	return report(w, order, results, output, known), failures, nil
}

func report(w io.Writer, order []testName, results map[testName]string, output map[testName][]string, known []testName) bool {
	ok := true
	for _, n := range order {
		if results[n] != "fail" || explainedByKnown(n, results, known) {
			continue
		}
		ok = false
		fmt.Fprintf(w, "\nFAIL %s\n%s", n, strings.Join(output[n], ""))
		if n.test == "" {
			printUnfinished(w, n.pkg, results, output)
		}
	}
	for _, n := range known {
		fmt.Fprintf(w, "known failure (KNOWN-RED.txt): %s, result of this run: %s\n", n, results[n])
	}
	printCounts(w, results)
	return ok
}

// printUnfinished prints the output of the tests of a package that have no result
// because they were running when the test binary exited.
func printUnfinished(w io.Writer, pkg string, results map[testName]string, output map[testName][]string) {
	for n, lines := range output {
		if n.pkg == pkg && n.test != "" && results[n] == "" {
			fmt.Fprintf(w, "UNFINISHED %s\n%s", n, strings.Join(lines, ""))
		}
	}
}

// printCounts prints the number of tests by result, not counting packages.
func printCounts(w io.Writer, results map[testName]string) {
	counts := map[string]int{}
	for n, result := range results {
		if n.test != "" {
			counts[result]++
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
}

// explainedByKnown reports whether the failure of n is explained by known tests alone:
// n is listed, or n is the parent test or package of failed tests, all of which are
// explained.
func explainedByKnown(n testName, results map[testName]string, known []testName) bool {
	if n.test != "" && slices.Contains(known, n) {
		return true
	}
	failedChildren := 0
	for m, result := range results {
		if result != "fail" || m.pkg != n.pkg || !isChild(m.test, n.test) {
			continue
		}
		if !explainedByKnown(m, results, known) {
			return false
		}
		failedChildren++
	}
	return failedChildren > 0
}

// isChild reports whether test is a direct subtest of parent, or a top-level test if
// parent is empty.
func isChild(test, parent string) bool {
	if parent == "" {
		return test != "" && !strings.Contains(test, "/")
	}
	rest, ok := strings.CutPrefix(test, parent+"/")
	return ok && !strings.Contains(rest, "/")
}
