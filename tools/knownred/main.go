// Command knownred reads the output of "go test -json" from standard input and
// prints it as "go test" does. Its argument names a file of tests that are known
// to fail. It exits with status 0 if some test passed and every failure is that of
// a listed test, with status 2 if the argument is missing or the file cannot be
// read, and with status 1 otherwise.
//
// Each line "test: PACKAGE TestName" of the file lists one test and its subtests.
// All other lines are ignored: the command, seed, symptom and issue of an entry,
// and comments that begin with "#".
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// An event is the part of a "go test -json" event that the command uses.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	os.Exit(run(known))
}

// run reads the events, prints their output and a summary, and returns the exit
// status. Besides a failed test that is not known, a line that is not an event, a
// failed build and a package that failed without a failed test count as failures.
func run(known map[string]bool) int {
	passed, failed, knownFailures := 0, 0, 0
	testFailed := make(map[string]bool)
	failedPackages := make(map[string]bool)
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			failed++
			continue
		}
		switch {
		case e.Action == "output" || e.Action == "build-output":
			printOutput(e)
		case e.Action == "build-fail":
			failed++
		case e.Action == "pass" && e.Test != "":
			passed++
		case e.Action == "fail" && e.Test == "":
			failedPackages[e.Package] = true
		case e.Action == "fail":
			testFailed[e.Package] = true
			if known[e.Package+" "+topLevel(e.Test)] {
				knownFailures++
				fmt.Printf("KNOWN RED: %s %s\n", e.Package, e.Test)
				continue
			}
			failed++
			fmt.Printf("RED: %s %s\n", e.Package, e.Test)
		}
	}
	for p := range failedPackages {
		if !testFailed[p] {
			failed++
			fmt.Printf("RED: %s failed outside its tests\n", p)
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if knownFailures > 0 {
		fmt.Printf("known red: %d\n", knownFailures)
	}
	if failed > 0 || passed == 0 {
		return 1
	}
	return 0
}

// printOutput prints an event's output, except for the lines that only report that
// a test started or passed.
func printOutput(e event) {
	line := strings.TrimLeft(e.Output, " ")
	for _, prefix := range []string{"=== ", "--- PASS"} {
		if strings.HasPrefix(line, prefix) {
			return
		}
	}
	fmt.Print(e.Output)
}

// topLevel returns the name of the top-level test that contains test.
func topLevel(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// readKnown returns the tests that the file lists, each as "PACKAGE TestName".
func readKnown(file string) (map[string]bool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, line := range strings.Split(string(text), "\n") {
		if entry, ok := strings.CutPrefix(line, "test: "); ok {
			known[strings.TrimSpace(entry)] = true
		}
	}
	return known, nil
}
