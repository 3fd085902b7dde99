package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// The versions that a bench runs.
const (
	productVersion = "product"
	naiveVersion   = "naive"
)

// Bounds on starting and stopping.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

// A bench is the fleet's processes as they run.
type bench struct {
	fleet   *fleet
	version string
	// bin is the directory of the programs, dir that of settings and output.
	bin, dir    string
	files       files
	platform    *platform
	meterClient *http.Client
	standins    []*process
	// entries holds the process of each entry instance.
	entries []*process
}

// newBench writes the files of the fleet's programs to dir.
func newBench(f *fleet, version, bin, dir string) (*bench, error) {
	b := &bench{
		fleet:       f,
		version:     version,
		bin:         bin,
		dir:         dir,
		platform:    newPlatform(f.platform),
		meterClient: &http.Client{Timeout: healthTimeout},
		entries:     make([]*process, len(f.entries)),
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	if err := removeOutput(dir); err != nil {
		return nil, err
	}
	var err error
	b.files, err = f.writeFiles(dir)
	return b, err
}

// start starts the stand-ins and the entry instances, and waits until all
// entry instances are ready.
func (b *bench) start(ctx context.Context) error {
	standins := [][]string{
		{"store", "--address", b.platform.storeAddress().String()},
		{"worker", "--servers", b.files.servers, "--control", b.platform.controlAddress().String()},
	}
	for _, args := range standins {
		p, err := startProcess(b.dir, args[0], filepath.Join(b.bin, "amaranthwell-standin"), args...)
		if err != nil {
			return err
		}
		b.standins = append(b.standins, p)
	}
	if err := b.register(ctx); err != nil {
		return err
	}
	if b.version == productVersion {
		if err := b.publish(ctx); err != nil {
			return err
		}
	}
	for i := range b.fleet.entries {
		if err := b.startEntry(i); err != nil {
			return err
		}
	}
	return b.waitReady(ctx)
}

// register puts the backend servers on the platform's list, once the stand-ins
// answer.
func (b *bench) register(ctx context.Context) error {
	for _, url := range []string{
		"http://" + b.platform.storeAddress().String() + "/log-newest?part=0&topic=" + serverTopic,
		"http://" + b.platform.controlAddress().String() + "/v1/starts",
	} {
		err := poll(ctx, url, func() bool {
			_, err := get(ctx, b.meterClient, url)
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	for _, s := range b.fleet.servers {
		if err := b.platform.list(ctx, s.address, s.zone, stateReady); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the fleet's tables. The log may still be starting, so a
// failed attempt is repeated.
func (b *bench) publish(ctx context.Context) error {
	return poll(ctx, "publishing the tables", func() bool {
		p, err := startProcess(b.dir, "publish", filepath.Join(b.bin, "amaranthwell"), "publish",
			"--log", "http://"+b.platform.storeAddress().String(), "--author", "load", b.files.routes, b.files.pools)
		if err != nil {
			return false
		}
		<-p.ended
		return p.err == nil
	})
}

// startEntry starts entry instance i, which puts itself on the list.
func (b *bench) startEntry(i int) error {
	program, args, err := b.entryProgram(i)
	if err != nil {
		return err
	}
	b.entries[i], err = startProcess(b.dir, entryName(i), program, args...)
	return err
}

func (b *bench) waitReady(ctx context.Context) error {
	for i := range b.fleet.entries {
		if err := b.waitEntryReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) waitEntryReady(ctx context.Context, i int) error {
	return poll(ctx, entryName(i), func() bool {
		return isReady(ctx, b.meterClient, b.fleet.entries[i].operator)
	})
}

// poll calls ready until it returns true, ctx ends or readyTimeout passes.
func poll(ctx context.Context, what string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", what)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// endedEntries names the entry instances that have ended although they should
// run.
func (b *bench) endedEntries() []string {
	var ended []string
	for _, p := range b.entries {
		if !p.running() {
			ended = append(ended, p.name+" has ended")
		}
	}
	return ended
}

// stop ends every process that the bench started, by its id. Entry instances
// are killed: they keep nothing, and a graceful shutdown has a scenario of its
// own.
func (b *bench) stop() {
	for _, p := range b.entries {
		if p != nil {
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, p := range b.standins {
		p.stop(stopTimeout)
	}
}
