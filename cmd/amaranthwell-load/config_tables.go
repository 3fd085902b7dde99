package main

import (
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// inputFiles holds the paths of the input files of the started programs.
type inputFiles struct {
	routes  string
	pools   string
	servers string
}

// writeFiles writes the fleet's routes table, its pools table and the servers file
// of the worker stand-in to dir.
func (f *fleet) writeFiles(dir string) (inputFiles, error) {
	names := inputFiles{
		routes:  filepath.Join(dir, "routes.toml"),
		pools:   filepath.Join(dir, "pools.toml"),
		servers: filepath.Join(dir, "servers.toml"),
	}
	if err := writeTOML(names.routes, f.routesTable()); err != nil {
		return inputFiles{}, err
	}
	if err := writeTOML(names.pools, f.poolsTable()); err != nil {
		return inputFiles{}, err
	}
	return names, writeTOML(names.servers, f.workerServers())
}

func writeTOML(file string, value any) error {
	text, err := toml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

// routeRow is a route in the routes table of the product.
type routeRow struct {
	Name       string  `toml:"name"`
	Pool       string  `toml:"pool"`
	Urgency    int     `toml:"urgency"`
	Share      int     `toml:"share"`
	Idempotent bool    `toml:"idempotent"`
	Timeout    string  `toml:"timeout"`
	Cores      float64 `toml:"cores"`
	MemoryMiB  int     `toml:"memory-mib"`
}

// Resources that a task declares, the same on every route.
const (
	taskCores     = 1.0
	taskMemoryMiB = 512
)

func (f *fleet) routesTable() any {
	var table struct {
		Routes []routeRow `toml:"routes"`
	}
	for _, r := range f.routes {
		table.Routes = append(table.Routes, routeRow{
			Name: r.name, Pool: f.pool, Urgency: r.urgency, Share: r.share, Idempotent: r.idempotent,
			Timeout: r.timeout.String(), Cores: taskCores, MemoryMiB: taskMemoryMiB,
		})
	}
	return table
}

// serverRow is a backend server in the pools table of the product.
type serverRow struct {
	Address     string `toml:"address"`
	Zone        string `toml:"zone"`
	Rack        string `toml:"rack"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
	Cores       int    `toml:"cores"`
	MemoryMiB   int    `toml:"memory-mib"`
}

// poolRow is a pool in the pools table of the product.
type poolRow struct {
	Name    string      `toml:"name"`
	Servers []serverRow `toml:"servers"`
}

func (f *fleet) poolsTable() any {
	pool := poolRow{Name: f.pool}
	for _, s := range f.servers {
		pool.Servers = append(pool.Servers, serverRow{
			Address: s.address.String(), Zone: s.zone, Rack: s.rack, Slots: slotsPerServer,
			Connections: connections, Cores: s.cores, MemoryMiB: s.memoryMiB,
		})
	}
	return struct {
		Pools []poolRow `toml:"pools"`
	}{[]poolRow{pool}}
}

// workerServer is a backend server in the servers file of the worker stand-in.
type workerServer struct {
	Address     string  `toml:"address"`
	Slots       int     `toml:"slots"`
	Connections int     `toml:"connections"`
	Speed       float64 `toml:"speed"`
}

func (f *fleet) workerServers() any {
	var table struct {
		Servers []workerServer `toml:"servers"`
	}
	for _, s := range f.servers {
		table.Servers = append(table.Servers, workerServer{
			Address: s.address.String(), Slots: slotsPerServer, Connections: connections, Speed: s.speed,
		})
	}
	return table
}
