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

// Versions of the entry instance that a cluster can run.
const (
	productVersion = "product"
	naiveVersion   = "naive"
)

// Time limits for starting and stopping processes.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

// A cluster is the set of running processes of a fleet.
type cluster struct {
	fleet *fleet
	// version is productVersion or naiveVersion.
	version string
	// bin is the directory of the executables. dir is the directory of the
	// settings files and the output of the processes.
	bin, dir      string
	inputFiles    inputFiles
	platform      *platform
	metricsClient *http.Client
	standins      []*process
	// entries holds the processes of the entry instances, in the order of
	// fleet.entries.
	entries []*process
}

// newCluster returns a cluster whose processes are not started yet. It writes
// their input files to dir and removes the output of earlier runs from it.
func newCluster(f *fleet, version, bin, dir string) (*cluster, error) {
	c := &cluster{
		fleet:         f,
		version:       version,
		bin:           bin,
		dir:           dir,
		platform:      newPlatform(f.platform),
		metricsClient: &http.Client{Timeout: healthTimeout},
		entries:       make([]*process, len(f.entries)),
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	if err := removeOutput(dir); err != nil {
		return nil, err
	}
	var err error
	c.inputFiles, err = f.writeFiles(dir)
	return c, err
}

// start starts the stand-ins and the entry instances, and waits until all entry
// instances are ready. For the product version it also publishes the tables.
func (c *cluster) start(ctx context.Context) error {
	standins := [][]string{
		{"store", "--address", c.platform.storeAddress().String()},
		{"worker", "--servers", c.inputFiles.servers, "--control", c.platform.controlAddress().String()},
	}
	for _, args := range standins {
		p, err := startProcess(c.dir, args[0], filepath.Join(c.bin, "amaranthwell-standin"), args...)
		if err != nil {
			return err
		}
		c.standins = append(c.standins, p)
	}
	if err := c.register(ctx); err != nil {
		return err
	}
	if c.version == productVersion {
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	for i := range c.fleet.entries {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	return c.waitReady(ctx)
}

// register waits until the stand-ins answer and then adds the backend servers to
// the platform's list.
func (c *cluster) register(ctx context.Context) error {
	for _, url := range []string{
		"http://" + c.platform.storeAddress().String() + "/log-newest?part=0&topic=" + serverTopic,
		"http://" + c.platform.controlAddress().String() + "/v1/starts",
	} {
		err := poll(ctx, url, func() bool {
			_, err := get(ctx, c.metricsClient, url)
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	for _, s := range c.fleet.servers {
		if err := c.platform.putServer(ctx, s.address, s.zone, stateReady); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the fleet's tables. It retries failed attempts because the
// log may still be starting.
func (c *cluster) publish(ctx context.Context) error {
	return poll(ctx, "publishing the tables", func() bool {
		p, err := startProcess(c.dir, "publish", filepath.Join(c.bin, "amaranthwell"), "publish",
			"--log", "http://"+c.platform.storeAddress().String(), "--author", "load", c.inputFiles.routes, c.inputFiles.pools)
		if err != nil {
			return false
		}
		<-p.ended
		return p.err == nil
	})
}

// startEntry starts entry instance i, which adds itself to the platform's list.
func (c *cluster) startEntry(i int) error {
	program, args, err := c.entryProgram(i)
	if err != nil {
		return err
	}
	c.entries[i], err = startProcess(c.dir, entryName(i), program, args...)
	return err
}

func (c *cluster) waitReady(ctx context.Context) error {
	for i := range c.fleet.entries {
		if err := c.waitEntryReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) waitEntryReady(ctx context.Context, i int) error {
	return poll(ctx, entryName(i), func() bool {
		return isReady(ctx, c.metricsClient, c.fleet.entries[i].operator)
	})
}

// poll calls ready every readyPoll until ready returns true. If ctx ends or readyTimeout
// passes first, poll returns an error with awaited, which names what was waited for.
func poll(ctx context.Context, awaited string, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", awaited)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// endedEntries returns one message for each entry instance that has ended. At the
// end of a phase all of them should be running.
func (c *cluster) endedEntries() []string {
	var ended []string
	for _, p := range c.entries {
		if !p.running() {
			ended = append(ended, p.name+" has ended")
		}
	}
	return ended
}

// stop ends every process that the cluster started, by its process ID. It kills the
// entry instances: they store nothing on disk, and the scenario "rolling" covers their
// graceful shutdown.
func (c *cluster) stop() {
	for _, p := range c.entries {
		if p != nil {
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, p := range c.standins {
		p.stop(stopTimeout)
	}
}
