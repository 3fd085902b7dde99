// Command guards breaks the guards of the product one at a time in a copy of
// its files, and checks that the test that each entry of guards.toml names then
// fails. It exits with 1 if a test does not fail, or if a guard is not found.
//
// Its argument, if any, is a regular expression of the names of the guards.
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

// A guard is a line of code that keeps a promise, and the test that fails
// without it.
type guard struct {
	// Name says what the guard keeps.
	Name string `toml:"name"`
	// File is the guard's file, Old its text and New the text without it.
	File string `toml:"file"`
	Old  string `toml:"old"`
	New  string `toml:"new"`
	// Package and Test name the test that must fail.
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

// timeout bounds one run of a test.
const timeout = 5 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "guards:", err)
		os.Exit(1)
	}
}

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
	held, count := 0, 0
	for _, g := range list.Guards {
		if !only.MatchString(g.Name) {
			continue
		}
		count++
		verdict, err := check(dir, g)
		if err != nil {
			verdict = err.Error()
		} else {
			held++
		}
		fmt.Printf("%-60s %s\n", g.Name, verdict)
	}
	fmt.Printf("%d of %d guards are held by a test\n", held, count)
	if held < count || count == 0 {
		return errors.New("a broken guard makes no test fail")
	}
	return nil
}

// copyTree copies the product's files that git knows into dir.
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

// check breaks one guard, runs its test and mends the guard. It returns an
// error unless the test passes with the guard, and runs and fails without it.
func check(dir string, g guard) (string, error) {
	file := filepath.Join(dir, g.File)
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(text, []byte(g.Old)); n != 1 {
		return "", fmt.Errorf("the guard's text is found %d times in %s", n, g.File)
	}
	if output, failed := test(dir, g); failed {
		return "", fmt.Errorf("%s %s fails with the guard: %s", g.Package, g.Test, reason(output))
	}
	broken := bytes.Replace(text, []byte(g.Old), []byte(g.New), 1)
	if err := os.WriteFile(file, broken, 0o600); err != nil {
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
		return "", fmt.Errorf("%s %s does not fail", g.Package, g.Test)
	case !strings.Contains(output, "--- FAIL") && !strings.Contains(output, "panic: "):
		return "", fmt.Errorf("no test failed: %s", firstLine(output))
	}
	return fmt.Sprintf("%s %s fails: %s", g.Package, g.Test, reason(output)), nil
}

// test runs a guard's test and returns its output and whether it failed.
func test(dir string, g guard) (string, bool) {
	run := exec.Command("go", "test", "-failfast", "-timeout", timeout.String(), "-run", g.Test, "./"+g.Package)
	run.Dir = dir
	output, err := run.CombinedOutput()
	// A failure that rapid has kept would be replayed for the next guard.
	_ = os.RemoveAll(filepath.Join(dir, g.Package, "testdata", "rapid"))
	return string(output), err != nil
}

// colour is a sequence that changes a terminal's colour.
var colour = regexp.MustCompile("\x1b\\[[0-9]*m")

// reason returns the last line that says why a test failed.
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
