// Command amaranthwell-standin runs a stand-in for one part of the platform: the
// metadata store, or a worker with backend servers. It shuts down on SIGINT and
// SIGTERM. It can also make a single HTTP request, for scripts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	mustAdd(parser, "store", "Run the metadata store.", &storeCommand{ctx: ctx})
	mustAdd(parser, "worker", "Run a worker with backend servers.", &workerCommand{ctx: ctx})
	mustAdd(parser, "request", "Make one HTTP request and print the answer.", &requestCommand{ctx: ctx})
	if _, err := parser.Parse(); err != nil {
		exit(err)
	}
}

// mustAdd adds a subcommand to parser. It panics if the command's struct is malformed.
func mustAdd(parser *flags.Parser, name, description string, command any) {
	if _, err := parser.AddCommand(name, description, description, command); err != nil {
		panic(err)
	}
}

// exit prints err and ends the process, with status 0 if err is the help text that
// the user requested and with status 1 otherwise.
func exit(err error) {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
