package main

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// faultyEntry is the index of the entry instance that fault scenarios kill or pause.
const faultyEntry = 2

// entryShutdownTimeout is the maximum time from SIGTERM to the end of an entry
// instance. It exceeds the lifetime of the keys that the instance has issued.
const entryShutdownTimeout = 90 * time.Second

// faultOffset is the time from the start of a phase to its fault. The fault occurs within
// the measured window, so that the results include its cost before it is detected.
const faultOffset = faultWarmup + 2*time.Second

func faultScenarios(*fleet) []scenario {
	return []scenario{
		scenarioWithBaseline("failing-servers", "One backend server in ten fails everything that it starts.",
			phase{events: []event{{offset: faultOffset, name: "fail", do: setFaults(fault{FailAll: true})}}, warmup: faultWarmup}),
		scenarioWithBaseline("slow-servers", "One backend server in ten runs 10 times slower.",
			phase{events: []event{{offset: faultOffset, name: "slow", do: setFaults(fault{SlowFactor: 10})}}, warmup: faultWarmup}),
		scenarioWithBaseline("vanished-servers", "One backend server in ten vanishes and stays on the list.",
			phase{events: []event{{offset: faultOffset, name: "vanish", do: setFaults(fault{Vanish: true})}}, warmup: faultWarmup}),
		scenarioWithBaseline("server-leaving", "One backend server in ten leaves.",
			phase{events: []event{{offset: faultOffset, name: "leave", do: drainServers}}, warmup: faultWarmup}),
		scenarioWithBaseline("entry-killed", "An entry instance is killed with SIGKILL and started again 6 s later.",
			phase{events: []event{
				{offset: faultOffset, name: "kill", do: killEntry},
				{offset: faultOffset + detectionDelay, name: "unlist", do: deregisterEntry},
				{offset: faultOffset + 2*detectionDelay, name: "restart", do: restartEntry},
			}, warmup: faultWarmup}),
		scenarioWithBaseline("entry-paused", "An entry instance is stopped with SIGSTOP for 5 s.",
			phase{events: []event{
				{offset: faultOffset, name: "pause", do: signalEntry(syscall.SIGSTOP)},
				{offset: faultOffset + pauseDuration, name: "continue", do: signalEntry(syscall.SIGCONT)},
			}, warmup: faultWarmup}),
		{
			name: "rolling", description: "All entry instances are replaced with SIGTERM, two at a time (needs its whole window).",
			phases: []phase{{
				name: "rolling", load: baselineLoad, warmup: faultWarmup, windowLength: rollingWindow,
				events: []event{{offset: faultOffset, name: "roll", do: replaceEntries}},
			}},
		},
	}
}

// faultyServers returns every tenth backend server.
func faultyServers(f *fleet) []server {
	var faulty []server
	for i := faultyServerStride / 2; i < len(f.servers); i += faultyServerStride {
		faulty = append(faulty, f.servers[i])
	}
	return faulty
}

// setFaults returns an event that sets the simulated faults of every tenth backend
// server.
func setFaults(f fault) func(context.Context, *cluster) error {
	return func(ctx context.Context, c *cluster) error {
		for _, s := range faultyServers(c.fleet) {
			if err := c.platform.setFault(ctx, s.address, f); err != nil {
				return err
			}
		}
		return nil
	}
}

// drainServers marks every tenth backend server as draining on the platform's
// list, and makes the server itself report that it is leaving.
func drainServers(ctx context.Context, c *cluster) error {
	for _, s := range faultyServers(c.fleet) {
		if err := c.platform.putServer(ctx, s.address, s.zone, stateLeaving); err != nil {
			return err
		}
		if err := c.platform.setFault(ctx, s.address, fault{Leaving: true}); err != nil {
			return err
		}
	}
	return nil
}

func signalEntry(sig syscall.Signal) func(context.Context, *cluster) error {
	return func(_ context.Context, c *cluster) error {
		return c.entries[faultyEntry].signal(sig)
	}
}

func killEntry(_ context.Context, c *cluster) error {
	err := c.entries[faultyEntry].signal(syscall.SIGKILL)
	<-c.entries[faultyEntry].ended
	return err
}

func deregisterEntry(ctx context.Context, c *cluster) error {
	return c.platform.deleteMember(ctx, c.fleet.entries[faultyEntry].peer)
}

func restartEntry(ctx context.Context, c *cluster) error {
	if err := c.startEntry(faultyEntry); err != nil {
		return err
	}
	return c.waitEntryReady(ctx, faultyEntry)
}

// replaceEntries replaces all entry instances, two at a time.
func replaceEntries(ctx context.Context, c *cluster) error {
	half := len(c.fleet.entries) / 2
	for i := range half {
		var pair errgroup.Group
		pair.Go(func() error { return replaceEntry(ctx, c, i) })
		pair.Go(func() error { return replaceEntry(ctx, c, i+half) })
		if err := pair.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntry replaces entry instance i as the platform does: it stops the
// instance with SIGTERM, starts it again and waits until it is ready.
func replaceEntry(ctx context.Context, c *cluster, i int) error {
	if !c.entries[i].stop(entryShutdownTimeout) {
		return errors.Newf("%s did not end by itself after SIGTERM", entryName(i))
	}
	if err := c.startEntry(i); err != nil {
		return err
	}
	return c.waitEntryReady(ctx, i)
}
