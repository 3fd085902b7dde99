//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the time after which a case is given up.
const maxTime = 110 * time.Second

// A caseFunc plays a case with or without its disruption. It returns whether the rule was
// broken, and an error if the case could not run.
type caseFunc func(d *deployment, trouble bool) (broken bool, err error)

// cases are the cases by their names.
var cases = map[string]caseFunc{
	"late-copy-of-cancelled-job":  lateCopyOfCancelledJob,
	"two-late-copies-of-a-job":    twoLateCopies,
	"job-resumed-on-old-service":  jobResumedOnOldService,
	"kind-refused-after-recovery": kindRefusedAfterRecovery,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	keep := flag.Bool("keep-logs", false, "keep the logs of the instances, and print their folder")
	flag.Parse()
	os.Exit(play(*name, *path, *keep))
}

// play plays a case and returns the exit status.
func play(name, path string, keep bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close(false)
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(maxTime, func() { interrupted <- syscall.SIGTERM })
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	status := exitHeld
	switch {
	case err != nil:
		record.note("result  not run: %v", err)
		fmt.Println("not run:", err)
		status = exitNotRun
	case broken:
		record.note("result  the rule was broken")
		fmt.Println("the rule was broken")
		status = exitBroken
	default:
		record.note("result  the rule held")
		fmt.Println("the rule held")
	}
	d.close(keep)
	if keep {
		fmt.Println("logs:", d.dir)
	}
	if err := record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return status
}
