package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/standin"
)

// storeCommand runs a stand-in for the platform's metadata store.
type storeCommand struct {
	Address          string        `long:"address" default:"127.0.0.1:7100" description:"address to listen on"`
	Retention        time.Duration `long:"retention" default:"0" description:"time for which records are kept; 0 keeps them for good"`
	AppendDelay      time.Duration `long:"append-delay" default:"5ms" description:"time that an append takes"`
	AppendsPerSecond int           `long:"appends-per-second" default:"0" description:"limit of appends; 0 sets none"`

	ctx context.Context
}

// Execute runs the store until the context of the command is done.
func (c *storeCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	store := standin.NewStore(standin.StoreConfig{
		Retention:        c.Retention,
		AppendDelay:      c.AppendDelay,
		AppendsPerSecond: c.AppendsPerSecond,
	})
	// Reads that wait for new records would delay the shutdown.
	endReads := func() { store.SetDown(true) }
	return serve(c.ctx, []endpoint{{address, store}}, endReads)
}
