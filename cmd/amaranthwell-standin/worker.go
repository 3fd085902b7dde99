package main

import (
	"context"
	"math"
	"net/netip"
	"os"

	"github.com/amaranthwell/amaranthwell/standin"
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// workerCommand runs a stand-in for a worker with backend servers.
type workerCommand struct {
	Servers      string  `long:"servers" description:"TOML file of [[servers]] with address, slots, connections and speed; overrides the flags that describe servers"`
	FirstAddress string  `long:"first-address" default:"127.0.1.1:9000" description:"address of the first backend server; the others follow by last octet"`
	Count        int     `long:"count" default:"50" description:"number of backend servers"`
	Slots        int     `long:"slots" default:"8" description:"slots of each backend server"`
	Connections  int     `long:"connections" default:"64" description:"connections of each backend server"`
	Speed        float64 `long:"speed" default:"1" description:"speed of the backend servers"`
	SpeedSpread  float64 `long:"speed-spread" default:"0" description:"spread s: speeds lie between speed/(1+s) and speed*(1+s)"`
	Control      string  `long:"control" default:"127.0.0.1:9001" description:"address of the control API, which reports the starts of tasks and injects faults"`

	ctx context.Context
}

// Execute runs the backend servers until the context of the command is done.
func (c *workerCommand) Execute([]string) error {
	control, err := netip.ParseAddrPort(c.Control)
	if err != nil {
		return err
	}
	servers, err := c.servers()
	if err != nil {
		return err
	}
	worker, err := standin.NewWorker(standin.WorkerConfig{Servers: servers})
	if err != nil {
		return err
	}
	endpoints := []endpoint{{control, worker.Control()}}
	for _, s := range worker.Servers() {
		endpoints = append(endpoints, endpoint{s.Address(), s})
	}
	return serve(c.ctx, endpoints, func() { refuseTasks(worker) })
}

// refuseTasks makes every backend server refuse new tasks.
func refuseTasks(worker *standin.Worker) {
	for _, s := range worker.Servers() {
		faults := s.Faults()
		faults.Leaving = true
		s.SetFaults(faults)
	}
}

// servers returns the backend servers that the file lists or, without a file,
// those that the other flags describe.
func (c *workerCommand) servers() ([]standin.ServerConfig, error) {
	if c.Servers != "" {
		return readServers(c.Servers)
	}
	address, err := netip.ParseAddrPort(c.FirstAddress)
	if err != nil {
		return nil, err
	}
	var servers []standin.ServerConfig
	for i := range c.Count {
		servers = append(servers, standin.ServerConfig{
			Address:     address,
			Slots:       c.Slots,
			Connections: c.Connections,
			Speed:       c.Speed * spreadSpeed(i, c.Count, c.SpeedSpread),
		})
		address = netip.AddrPortFrom(address.Addr().Next(), address.Port())
	}
	return servers, nil
}

// spreadSpeed returns the speed factor of the i-th of n servers. The factors form
// a geometric sequence from 1/(1+spread) to 1+spread; a single server has 1.
func spreadSpeed(i, n int, spread float64) float64 {
	if n < 2 {
		return 1
	}
	exponent := 2*float64(i)/float64(n-1) - 1
	return math.Pow(1+spread, exponent)
}

// readServers reads the backend servers from a TOML file.
func readServers(name string) ([]standin.ServerConfig, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var file struct {
		Servers []struct {
			Address     netip.AddrPort `toml:"address"`
			Slots       int            `toml:"slots"`
			Connections int            `toml:"connections"`
			Speed       float64        `toml:"speed"`
		} `toml:"servers"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, errors.Wrap(err, name)
	}
	var servers []standin.ServerConfig
	for _, s := range file.Servers {
		servers = append(servers, standin.ServerConfig(s))
	}
	return servers, nil
}
