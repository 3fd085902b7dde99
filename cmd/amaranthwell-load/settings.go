package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// instanceSettings holds the settings of one entry instance of the product.
type instanceSettings struct {
	PeerAddress     string `toml:"peer-address"`
	CallerAddress   string `toml:"caller-address"`
	OperatorAddress string `toml:"operator-address"`
	Zone            string `toml:"zone"`
	Log             string `toml:"log"`
	Instances       string `toml:"instances"`
}

func entryName(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

// entryProgram writes the settings file of entry instance i and returns the
// executable and the arguments that run the instance.
func (c *cluster) entryProgram(i int) (string, []string, error) {
	file := filepath.Join(c.dir, entryName(i)+".toml")
	if c.version == productVersion {
		program := filepath.Join(c.bin, "amaranthwell")
		return program, []string{"entry", "--settings", file}, writeTOML(file, c.productSettings(i))
	}
	program, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	return program, []string{"naive", "--settings", file}, writeTOML(file, c.naiveSettings(i))
}

func (c *cluster) productSettings(i int) instanceSettings {
	e := c.fleet.entries[i]
	return instanceSettings{
		PeerAddress:     e.peer.String(),
		CallerAddress:   e.caller.String(),
		OperatorAddress: e.operator.String(),
		Zone:            e.zone,
		Log:             "http://" + c.platform.storeAddress().String(),
		Instances:       "http://" + c.platform.storeAddress().String(),
	}
}

// naiveSettings returns the settings of the naive instance i. The instance uses all
// backend servers, and runs as many tasks at once as its equal share of all slots.
func (c *cluster) naiveSettings(i int) naiveSettings {
	e := c.fleet.entries[i]
	settings := naiveSettings{
		CallerAddress:   e.caller,
		OperatorAddress: e.operator,
		MaxRunning:      fleetSlots / len(c.fleet.entries),
		Timeout:         jobTimeout.String(),
	}
	for n := range c.fleet.servers {
		// The rotation of every instance begins at a different server, so that
		// the instances do not use the same server at the same time.
		s := c.fleet.servers[(n+i*len(c.fleet.servers)/len(c.fleet.entries))%len(c.fleet.servers)]
		settings.Servers = append(settings.Servers, s.address)
	}
	return settings
}
