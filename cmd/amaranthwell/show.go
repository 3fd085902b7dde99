package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// showCommand shows the configuration in force.
type showCommand struct {
	logOptions
	TOML    bool          `long:"toml" description:"Print the tables as a TOML file"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Time after which to give up"`
	env     environment
}

// Execute runs the command.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	log, err := c.env.newLog(c.Log)
	if err != nil {
		return err
	}
	reader, _, err := operator.ReadAll(ctx, log)
	if err != nil {
		return err
	}
	current := reader.Current()
	if c.TOML {
		return c.printTOML(current)
	}
	c.print(current)
	return nil
}

// printTOML prints the tables as a file that publish accepts.
func (c *showCommand) printTOML(current operator.Configuration) error {
	fmt.Fprintf(c.env.stdout, "# Revision %d by %s at offset %d.\n", current.Revision, current.Author, current.Offset)
	if current.Tables == nil {
		return nil
	}
	body, err := current.Tables.EncodeTOML()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "%s", body)
	return nil
}

func (c *showCommand) print(current operator.Configuration) {
	if current.Tables == nil {
		fmt.Fprintln(c.env.stdout, "no revision")
		return
	}
	fmt.Fprintf(c.env.stdout, "revision %d by %s at offset %d: %s\n", current.Revision, current.Author, current.Offset, tableSummary(current.Tables))
	for _, r := range current.Tables.Routes {
		fmt.Fprintf(c.env.stdout, "route %s: pool %s, urgency %d, share %d, idempotent %t, timeout %v, %v cores, %d MiB\n",
			r.Name, r.Pool, r.Urgency, r.Share, r.Idempotent, r.Timeout, r.Cores, r.MemoryMiB)
	}
	for _, p := range current.Tables.Pools {
		slots := 0
		for _, s := range p.Servers {
			slots += s.Slots
		}
		drained := ""
		if len(p.DrainedZones) > 0 {
			drained = ", drained in " + strings.Join(p.DrainedZones, ", ")
		}
		fmt.Fprintf(c.env.stdout, "pool %s: %d servers, %d slots%s\n", p.Name, len(p.Servers), slots, drained)
	}
}
