package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// main runs the case that is named first and writes its record to the file that is named
// second. TROUBLE=0 in the environment leaves the disruption out.
func main() {
	cases := map[string]func(record string, trouble bool) (bool, error){
		"cancel": runCancel, "entry": runEntry, "kinds": runKinds, "room": runRoom, "garbled": runGarbled, "ended": runEnded,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(statusNotRun)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(statusNotRun)
	case broken:
		os.Exit(statusBroken)
	default:
		os.Exit(statusHeld)
	}
}
