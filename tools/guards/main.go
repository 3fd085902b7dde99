// Command guards is a mutation test of the checks, called guards, that correctness
// depends on. It removes one guard at a time in a copy of the repository's files
// and checks that the test that the guard's entry in guards.toml names then fails.
// It exits with status 1 if a test does not fail, if a guard is not found in its
// file, or if no guard matches.
//
// Its arguments, joined by spaces, are a regular expression that selects guards by
// name. Without arguments it tests all guards.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// A guard is a piece of code that a guarantee depends on, and the test that must
// fail without it.
type guard struct {
	// Name describes the guarantee.
	Name string `toml:"name"`
	// File is the guard's file, relative to the repository's root. Old is the
	// guard's text, which occurs exactly once in File, and New replaces it.
	File string `toml:"file"`
	Old  string `toml:"old"`
	New  string `toml:"new"`
	// Package is the folder of the test that must fail without the guard, and
	// Test the argument of -run that selects it.
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

// timeout is the time limit of one test run.
const timeout = 5 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "guards:", err)
		os.Exit(1)
	}
}

// run tests the selected guards and prints a line for each of them.
func run() error {
	var list struct {
		Guards []guard `toml:"guards"`
	}
	if _, err := toml.DecodeFile("guards/guards.toml", &list); err != nil {
		return err
	}
	only, err := regexp.Compile(strings.Join(os.Args[1:], " "))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "guards")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(dir); err != nil {
		return err
	}
	verified, count := 0, 0
	for _, g := range list.Guards {
		if !only.MatchString(g.Name) {
			continue
		}
		count++
		result, err := check(dir, g)
		if err != nil {
			result = err.Error()
		} else {
			verified++
		}
		fmt.Printf("%-60s %s\n", g.Name, result)
	}
	fmt.Printf("%d of %d guards are held by a test\n", verified, count)
	if verified < count || count == 0 {
		return errors.New("not every guard is verified by a test")
	}
	return nil
}

// copyTree copies the files that git tracks into dir. Tracked files that were
// deleted from the work tree are skipped.
func copyTree(dir string) error {
	list := exec.Command("git", "ls-files", "-z")
	list.Dir = ".."
	names, err := list.Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Split(strings.Trim(string(names), "\x00"), "\x00") {
		text, err := os.ReadFile(filepath.Join("..", name))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		to := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(to, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// check runs the test of g with the guard in place, replaces the guard, runs the
// test again and restores the file. It returns the reason of the second failure.
// It returns an error unless the test passes with the guard, and runs and fails
// without it.
func check(dir string, g guard) (string, error) {
	file := filepath.Join(dir, g.File)
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(text, []byte(g.Old)); n != 1 {
		return "", fmt.Errorf("the guard's text occurs %d times in %s, not once", n, g.File)
	}
	if output, failed := test(dir, g); failed {
		return "", fmt.Errorf("%s %s fails with the guard in place: %s", g.Package, g.Test, reason(output))
	}
	mutated := bytes.Replace(text, []byte(g.Old), []byte(g.New), 1)
	if err := os.WriteFile(file, mutated, 0o600); err != nil {
		return "", err
	}
	output, failed := test(dir, g)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", err
	}
	switch {
	case strings.Contains(output, "[build failed]") || strings.Contains(output, "[setup failed]"):
		return "", fmt.Errorf("does not build without the guard: %s", firstLine(output))
	case !failed:
		return "", fmt.Errorf("%s %s does not fail without the guard", g.Package, g.Test)
	case !strings.Contains(output, "--- FAIL") && !strings.Contains(output, "panic: "):
		return "", fmt.Errorf("no test failed: %s", firstLine(output))
	}
	return fmt.Sprintf("%s %s fails: %s", g.Package, g.Test, reason(output)), nil
}

// test runs the test of g in dir and returns its output and whether it failed.
func test(dir string, g guard) (string, bool) {
	run := exec.Command("go", "test", "-failfast", "-timeout", timeout.String(), "-run", g.Test, "./"+g.Package)
	run.Dir = dir
	output, err := run.CombinedOutput()
	// rapid stores the input of a failure and would replay it for the next
	// guard.
	_ = os.RemoveAll(filepath.Join(dir, g.Package, "testdata", "rapid"))
	return string(output), err != nil
}

// colour matches an escape sequence that sets a terminal's colour.
var colour = regexp.MustCompile("\x1b\\[[0-9]*m")

// reason returns the last line of output that names a line of a test or a panic,
// or else the first line.
func reason(output string) string {
	lines := strings.Split(colour.ReplaceAllString(output, ""), "\n")
	for at := len(lines) - 1; at >= 0; at-- {
		if strings.Contains(lines[at], "_test.go:") || strings.Contains(lines[at], "panic: ") {
			return strings.TrimSpace(lines[at])
		}
	}
	return firstLine(output)
}

func firstLine(output string) string {
	line, _, _ := strings.Cut(output, "\n")
	return line
}
