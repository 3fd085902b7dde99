package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/standin"
)

// logCommand runs the log.
type logCommand struct {
	Address          string        `long:"address" default:"127.0.0.1:7100" description:"address to listen on"`
	Retention        time.Duration `long:"retention" default:"0" description:"time for which records are kept; 0 keeps them for good"`
	AppendDelay      time.Duration `long:"append-delay" default:"5ms" description:"time that an append takes"`
	AppendsPerSecond int           `long:"appends-per-second" default:"0" description:"limit of appends; 0 sets none"`

	ctx context.Context
}

// Execute runs the command.
func (c *logCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	log := standin.NewLog(standin.LogConfig{
		Retention:        c.Retention,
		AppendDelay:      c.AppendDelay,
		AppendsPerSecond: c.AppendsPerSecond,
	})
	// Reads that wait would hold the end up.
	leave := func() { log.SetFaults(standin.LogFaults{Down: true}) }
	return serve(c.ctx, []endpoint{{address, log}}, leave)
}

// instancesCommand runs the list of instances.
type instancesCommand struct {
	Address string        `long:"address" default:"127.0.0.1:7200" description:"address to listen on"`
	Lag     time.Duration `long:"lag" default:"1s" description:"time after which a change shows up"`

	ctx context.Context
}

// Execute runs the command.
func (c *instancesCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	list := standin.NewInstances(standin.InstancesConfig{Lag: c.Lag})
	return serve(c.ctx, []endpoint{{address, list}}, nil)
}
