package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// instanceSettings is the settings file of one entry instance of the product.
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

// entryProgram writes the settings of entry instance i and returns the program
// that runs it with its arguments.
func (b *bench) entryProgram(i int) (string, []string, error) {
	file := filepath.Join(b.dir, entryName(i)+".toml")
	if b.version == productVersion {
		program := filepath.Join(b.bin, "amaranthwell")
		return program, []string{"entry", "--settings", file}, writeTOML(file, b.productSettings(i))
	}
	program, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	return program, []string{"naive", "--settings", file}, writeTOML(file, b.naiveSettings(i))
}

func (b *bench) productSettings(i int) instanceSettings {
	e := b.fleet.entries[i]
	return instanceSettings{
		PeerAddress:     e.peer.String(),
		CallerAddress:   e.caller.String(),
		OperatorAddress: e.operator.String(),
		Zone:            e.zone,
		Log:             "http://" + b.platform.storeAddress().String(),
		Instances:       "http://" + b.platform.storeAddress().String(),
	}
}

// naiveSettings returns the settings of naive instance i: all backend servers,
// and its part of all slots.
func (b *bench) naiveSettings(i int) naiveSettings {
	e := b.fleet.entries[i]
	settings := naiveSettings{
		CallerAddress:   e.caller,
		OperatorAddress: e.operator,
		MaxRunning:      fleetSlots / len(b.fleet.entries),
		Timeout:         jobTimeout.String(),
	}
	for n := range b.fleet.servers {
		// Every instance begins its turns elsewhere.
		s := b.fleet.servers[(n+i*len(b.fleet.servers)/len(b.fleet.entries))%len(b.fleet.servers)]
		settings.Servers = append(settings.Servers, s.address)
	}
	return settings
}
