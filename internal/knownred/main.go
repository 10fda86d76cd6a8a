// Command knownred runs "go test -json" with its arguments and fails when a test
// failed that is not listed in KNOWN-RED.txt. It prints the listed tests with
// their results, and the output of every failed test.
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

// testEvent is the part of an event of test2json that is used.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

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

// run runs "go test -json" with further arguments and judges its output.
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
		return false, fmt.Errorf("go test failed without a failed test: %w", err)
	}
	return ok, evaluateErr
}

// readKnown reads the lines "test: <package> <test>"; all other lines describe
// the entry for readers. A missing file lists nothing.
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

// judge reports whether every failure is listed in known, and the number of
// failures. A package that failed without a failed test, for instance by a build
// error or a crash, is never passed over.
func evaluate(r io.Reader, known []testName, w io.Writer) (ok bool, failures int, err error) {
	output := map[testName][]string{}
	results := map[testName]string{}
	var order []testName
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var e testEvent
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			// Build errors of older tools arrive as plain text.
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
		return false, 0, errors.New("no test results on standard input")
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
		fmt.Fprintf(w, "passed over (KNOWN-RED.txt): %s, result of this run: %s\n", n, results[n])
	}
	printCounts(w, results)
	return ok
}

// printUnfinished prints the output of the tests of a package that have no result:
// those that ran when the test binary ended.
func printUnfinished(w io.Writer, pkg string, results map[testName]string, output map[testName][]string) {
	for n, lines := range output {
		if n.pkg == pkg && n.test != "" && results[n] == "" {
			fmt.Fprintf(w, "UNFINISHED %s\n%s", n, strings.Join(lines, ""))
		}
	}
}

// printCounts prints the number of tests by result, without packages.
func printCounts(w io.Writer, results map[testName]string) {
	counts := map[string]int{}
	for n, result := range results {
		if n.test != "" {
			counts[result]++
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", counts["pass"], counts["fail"], counts["skip"])
}

// passedOver reports whether the failure of n is explained by listed tests
// alone: n is listed, or n is the parent test or package of failed tests that
// are all passed over.
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

func isChild(test, parent string) bool {
	if parent == "" {
		return test != "" && !strings.Contains(test, "/")
	}
	rest, ok := strings.CutPrefix(test, parent+"/")
	return ok && !strings.Contains(rest, "/")
}
