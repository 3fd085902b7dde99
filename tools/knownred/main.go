// Command knownred reads the output of "go test -json" on its standard input,
// prints it as "go test" would, and exits with 1 if a test failed that the
// file named by its argument does not list.
//
// An entry of the file is a line "test: PACKAGE TestName"; further lines of an
// entry (command, seed, seen, issue) are for people. Lines that begin with "#"
// are comments.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

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

// run prints the events and returns the exit code.
func run(known map[string]bool) int {
	passed, failed, excused := 0, 0, 0
	red := make(map[string]bool)
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
			red[e.Package] = true
			if known[e.Package+" "+topLevel(e.Test)] {
				excused++
				fmt.Printf("KNOWN RED: %s %s\n", e.Package, e.Test)
				continue
			}
			failed++
			fmt.Printf("RED: %s %s\n", e.Package, e.Test)
		}
	}
	for p := range failedPackages {
		if !red[p] {
			failed++
			fmt.Printf("RED: %s failed outside its tests\n", p)
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if excused > 0 {
		fmt.Printf("known red: %d\n", excused)
	}
	if failed > 0 || passed == 0 {
		return 1
	}
	return 0
}

// printOutput prints an event's output, but for the lines that only say that a
// test runs or has passed.
func printOutput(e event) {
	line := strings.TrimLeft(e.Output, " ")
	for _, noise := range []string{"=== ", "--- PASS"} {
		if strings.HasPrefix(line, noise) {
			return
		}
	}
	fmt.Print(e.Output)
}

// topLevel returns the test that a subtest belongs to.
func topLevel(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

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
