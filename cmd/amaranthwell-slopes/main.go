// Command amaranthwell-slopes measures how the memory, messages and processor
// time of the system's components grow with their sizes, fits a straight line to
// each series of readings, and writes the lines, called slopes, as TOML. All
// components run in this process. Only the clients of the platform's instance
// list and of backend servers use sockets, over loopback.
//
//	amaranthwell-slopes --output docs/slopes.toml
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pelletier/go-toml/v2"
)

// options are the flags of the command.
type options struct {
	Output  string `long:"output" value-name:"FILE" default:"docs/slopes.toml" description:"file that the slopes are written to"`
	Command string `long:"command" default:"make slopes" description:"command that is named beside each slope"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures all slopes and writes them to the output file.
func run(o options) error {
	var all report
	for _, measure := range measurements {
		for _, s := range measure() {
			s.Command = o.Command
			s.fit()
			fmt.Fprintf(os.Stderr, "%-36s %14.4g + %.4g a %s (%s)\n", s.Name, s.Intercept, s.Slope, s.By, s.Unit)
			all.Slopes = append(all.Slopes, s)
		}
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return err
	}
	return os.WriteFile(o.Output, text, 0o644)
}

// measurements are the functions that measure the slopes, in the order of the
// output.
var measurements = []func() []slope{
	tablesByWorkers,
	tablesByRoutes,
	stateByEdits,
	replayByRecords,
	membersByPeers,
	assignmentByPeers,
	instanceByPeers,
	heartbeatByRoutes,
	instanceByRoutes,
	schedulerByServers,
	schedulerByTeams,
	keysByNumber,
	jobsByTasks,
	wireByTasks,
	memoryByTasks,
	listByInstances,
	jobsFromCallers,
	tasksOverHTTP,
}
