package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// runCommand runs each scenario with each version and prints the results.
type runCommand struct {
	Scenarios []string `long:"scenario" description:"scenario to run (repeatable); see the command scenarios"`
	Versions  []string `long:"version" description:"product or naive (repeatable)" default:"product" default:"naive"`
	Fleet     string   `long:"fleet" description:"sapica or kwena" default:"sapica"`
	Seed      uint64   `long:"seed" description:"seed of the random numbers" default:"1"`
	Network   byte     `long:"network" description:"second number of the loopback addresses, 127.N.x.y" default:"40"`
	Bin       string   `long:"bin" description:"directory of the programs" default:"bin"`
	Output    string   `long:"output" description:"directory of results, settings and process output" default:"bin/load"`
	Plot      string   `long:"plot" description:"format of the plots" choice:"svg" choice:"png" default:"svg"`
	Window    string   `long:"window" description:"length of every measured window, such as 8s (default: the scenario's)"`
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := findFleet(c.Fleet, c.Network)
	if err != nil {
		return err
	}
	chosen, err := c.scenarios(f)
	if err != nil {
		return err
	}
	all := report{Ideal: idealDefinition}
	for _, s := range chosen {
		var plots []curve
		for _, version := range c.Versions {
			results, curves, err := c.runScenario(ctx, f, s, version)
			if err != nil {
				return errors.Wrapf(err, "scenario %s, version %s", s.name, version)
			}
			all.Runs = append(all.Runs, results...)
			plots = append(plots, curves...)
		}
		if err := c.plot(s, plots); err != nil {
			return err
		}
	}
	return c.writeReport(all)
}

func findFleet(name string, network byte) (*fleet, error) {
	switch name {
	case "sapica":
		return newSapicaFleet(network), nil
	case "kwena":
		return newKwenaFleet(network), nil
	}
	return nil, errors.Newf("unknown fleet %q", name)
}

// scenarios returns the chosen scenarios, or all of them if none was chosen.
func (c *runCommand) scenarios(f *fleet) ([]scenario, error) {
	chosen := scenarios(f)
	if len(c.Scenarios) > 0 {
		chosen = nil
	}
	for _, name := range c.Scenarios {
		s, err := findScenario(f, name)
		if err != nil {
			return nil, err
		}
		chosen = append(chosen, s)
	}
	if c.Window == "" {
		return chosen, nil
	}
	length, err := time.ParseDuration(c.Window)
	for _, s := range chosen {
		for i := range s.phases {
			s.phases[i].windowLength = length
		}
	}
	return chosen, err
}

// runScenario runs all phases of a scenario with the given version on newly started
// processes. It returns one result and one curve for each phase.
func (c *runCommand) runScenario(ctx context.Context, f *fleet, s scenario, version string) ([]result, []curve, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deployed, err := newCluster(f, version, c.Bin, filepath.Join(c.Output, s.name+"-"+version))
	if err != nil {
		return nil, nil, err
	}
	defer deployed.stop()
	if err := deployed.start(ctx); err != nil {
		return nil, nil, err
	}
	r := newRun(ctx, deployed, c.Seed)
	for _, p := range s.phases {
		fmt.Fprintf(os.Stderr, "%s %s %s\n", version, s.name, p.name)
		if err := r.runPhase(ctx, s, p); err != nil {
			return nil, nil, err
		}
	}
	return r.results, r.curves, nil
}

// writeReport writes the report to standard output and to results.toml in the output
// directory.
func (c *runCommand) writeReport(all report) error {
	text, err := toml.Marshal(all)
	if err != nil {
		return err
	}
	fmt.Print(string(text))
	return os.WriteFile(filepath.Join(c.Output, "results.toml"), text, 0o644)
}

// A run is the state that a scenario keeps over its phases.
type run struct {
	cluster   *cluster
	seed      uint64
	recorder  *recorder
	generator *generator
	// windows holds the window of each phase that has begun, by the phase's name.
	windows map[string]*window
	results []result
	curves  []curve
}

func newRun(ctx context.Context, c *cluster, seed uint64) *run {
	rec := newRecorder(c.fleet)
	balance := newBalancer(ctx, c.fleet.entries, rand.New(rand.NewPCG(seed, balancerRandStream)))
	return &run{
		cluster:  c,
		seed:     seed,
		recorder: rec,
		generator: &generator{
			client:      newClient(balance, rec),
			seed:        seed,
			fleet:       c.fleet,
			meanJobTime: meanJobTime(rand.New(rand.NewPCG(seed, meanJobTimeRandStream))),
		},
		windows: make(map[string]*window),
	}
}

// The second part of the seeds of random number generators. For the generator of a load
// stream, that part is the index of the stream, which is smaller than these numbers.
const (
	balancerRandStream = 1000 + iota
	meanJobTimeRandStream
)
