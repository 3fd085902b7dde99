// Command rig runs the scripts of the review: it starts the system's processes with the
// command of the deploy file, on loopback addresses, against stand-ins of the store, the
// workers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// A result is the outcome of a case.
type result struct {
	// broken describes how the rule was broken, or is empty.
	broken []string
	// err is set if the case could not run.
	err error
}

// A testCase runs with or without the disruption.
type testCase func(env environment) result

// An environment is what a case runs in.
type environment struct {
	// root is the root of the repository, and temporary a directory of this run.
	root, temporary string
	// program is the command of the deploy file.
	program []string
	// trouble is set if the disruption is to be caused.
	trouble bool
	rec     *recorder
}

var cases = map[string]testCase{
	"receiver-restart": receiverRestart,
	"late-stop":        lateStop,
	"release":          release,
	"reset":            resetConnections,
	"reborn":           reborn,
}

func main() { os.Exit(run()) }

// run runs the case that the first argument names and records in the file that the second
// one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	env := environment{trouble: os.Getenv("TROUBLE") != "0", rec: newRecorder(record)}
	if env.root, err = os.Getwd(); err == nil {
		env.program, err = deployedCommand(filepath.Join(env.root, "deploy", "system.toml"))
	}
	if err == nil {
		env.temporary, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(env.temporary) }()
	env.rec.note("case %s, disruption %v, command %q", os.Args[1], env.trouble, strings.Join(env.program, " "))
	r := cases[os.Args[1]](env)
	switch {
	case r.err != nil:
		env.rec.note("the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case len(r.broken) > 0:
		for _, line := range r.broken {
			env.rec.note("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return 1
	default:
		env.rec.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}

// deployedCommand returns the command that the deploy file at path gives for the only
// role.
func deployedCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no line run", path)
}
