package main

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// faultEntry is the entry instance that faults happen to.
const faultEntry = 2

// leaveTimeout bounds the time in which an entry instance ends after SIGTERM. It
// is longer than a key that the instance gave to a caller can be used.
const leaveTimeout = 90 * time.Second

// faultTime is when in a phase the faults happen, within its window, so that
// the figures hold what the faults cost before they are noticed.
const faultTime = settleFaults + 2*time.Second

func faultScenarios(*fleet) []scenario {
	return []scenario{
		comparedScenario("failing-servers", "One backend server in ten fails everything that it starts.",
			phase{events: []event{{at: faultTime, name: "fail", do: setFaults(fault{FailAll: true})}}, settle: settleFaults}),
		comparedScenario("slow-servers", "One backend server in ten runs 10 times slower.",
			phase{events: []event{{at: faultTime, name: "slow", do: setFaults(fault{SlowFactor: 10})}}, settle: settleFaults}),
		comparedScenario("vanished-servers", "One backend server in ten vanishes and stays on the list.",
			phase{events: []event{{at: faultTime, name: "vanish", do: setFaults(fault{Vanish: true})}}, settle: settleFaults}),
		comparedScenario("server-leaving", "One backend server in ten leaves.",
			phase{events: []event{{at: faultTime, name: "leave", do: leaveServers}}, settle: settleFaults}),
		comparedScenario("entry-killed", "An entry instance is killed with SIGKILL and started again 6 s later.",
			phase{events: []event{
				{at: faultTime, name: "kill", do: killEntry},
				{at: faultTime + listDelay, name: "unlist", do: unlistEntry},
				{at: faultTime + 2*listDelay, name: "restart", do: restartEntry},
			}, settle: settleFaults}),
		comparedScenario("entry-paused", "An entry instance is stopped with SIGSTOP for 5 s.",
			phase{events: []event{
				{at: faultTime, name: "pause", do: signalEntry(syscall.SIGSTOP)},
				{at: faultTime + pauseTime, name: "continue", do: signalEntry(syscall.SIGCONT)},
			}, settle: settleFaults}),
		{
			name: "rolling", description: "All entry instances are replaced with SIGTERM, two at a time (needs its whole window).",
			phases: []phase{{
				name: "rolling", load: usualLoad, settle: settleFaults, length: rollingTime,
				events: []event{{at: faultTime, name: "roll", do: rollEntries}},
			}},
		},
	}
}

// faultyServers returns every tenth backend server.
func faultyServers(f *fleet) []server {
	var faulty []server
	for i := faultEvery / 2; i < len(f.servers); i += faultEvery {
		faulty = append(faulty, f.servers[i])
	}
	return faulty
}

func setFaults(wrong fault) func(context.Context, *bench) error {
	return func(ctx context.Context, b *bench) error {
		for _, s := range faultyServers(b.fleet) {
			if err := b.platform.setFault(ctx, s.address, wrong); err != nil {
				return err
			}
		}
		return nil
	}
}

// leaveServers lists every tenth backend server as leaving and has it say so.
func leaveServers(ctx context.Context, b *bench) error {
	for _, s := range faultyServers(b.fleet) {
		if err := b.platform.list(ctx, s.address, s.zone, stateLeaving); err != nil {
			return err
		}
		if err := b.platform.setFault(ctx, s.address, fault{Leaving: true}); err != nil {
			return err
		}
	}
	return nil
}

func signalEntry(sig syscall.Signal) func(context.Context, *bench) error {
	return func(_ context.Context, b *bench) error {
		return b.entries[faultEntry].signal(sig)
	}
}

func killEntry(_ context.Context, b *bench) error {
	err := b.entries[faultEntry].signal(syscall.SIGKILL)
	<-b.entries[faultEntry].ended
	return err
}

func unlistEntry(ctx context.Context, b *bench) error {
	return b.platform.unlist(ctx, b.fleet.entries[faultEntry].peer)
}

func restartEntry(ctx context.Context, b *bench) error {
	if err := b.startEntry(faultEntry); err != nil {
		return err
	}
	return b.waitEntryReady(ctx, faultEntry)
}

// rollEntries replaces the entry instances, two at a time.
func rollEntries(ctx context.Context, b *bench) error {
	half := len(b.fleet.entries) / 2
	for i := range half {
		var pair errgroup.Group
		pair.Go(func() error { return replaceEntry(ctx, b, i) })
		pair.Go(func() error { return replaceEntry(ctx, b, i+half) })
		if err := pair.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntry replaces entry instance i as the platform does: it is told to stop,
// and started again.
func replaceEntry(ctx context.Context, b *bench, i int) error {
	if !b.entries[i].stop(leaveTimeout) {
		return errors.Newf("%s did not end by itself after SIGTERM", entryName(i))
	}
	if err := b.startEntry(i); err != nil {
		return err
	}
	return b.waitEntryReady(ctx, i)
}
