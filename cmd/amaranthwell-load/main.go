// Command amaranthwell-load measures entry instances under load. It starts stand-ins
// for the platform and the workers, and entry instances of either the product or the
// naive version. It then runs scenarios and prints their results.
//
//	amaranthwell-load run --scenario steady --version product --version naive
//	amaranthwell-load table RESULTS.toml...
//	amaranthwell-load naive --settings FILE
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("amaranthwell-load", flags.Default)
	addCommand(parser, "run", "run scenarios and print their results", &runCommand{})
	addCommand(parser, "table", "print results as Markdown tables", &tableCommand{})
	addCommand(parser, "naive", "run one entry instance of the naive version", &naiveCommand{})
	addCommand(parser, "scenarios", "list the scenarios", &scenariosCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func addCommand(parser *flags.Parser, name, description string, data any) {
	if _, err := parser.AddCommand(name, description, "", data); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
