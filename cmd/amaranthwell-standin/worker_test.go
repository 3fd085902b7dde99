package main

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/amaranthwell/amaranthwell/standin"
	"github.com/matryer/is"
)

func TestServersFromFlags(t *testing.T) {
	is := is.New(t)
	c := workerCommand{
		FirstAddress: "127.0.1.255:9000", Count: 3,
		Slots: 8, Connections: 64, Speed: 1, SpeedSpread: 1,
	}
	servers, err := c.servers()
	is.NoErr(err)
	is.Equal(servers, []standin.ServerConfig{
		{Address: netip.MustParseAddrPort("127.0.1.255:9000"), Slots: 8, Connections: 64, Speed: 0.5},
		{Address: netip.MustParseAddrPort("127.0.2.0:9000"), Slots: 8, Connections: 64, Speed: 1},
		{Address: netip.MustParseAddrPort("127.0.2.1:9000"), Slots: 8, Connections: 64, Speed: 2},
	})
}

func TestServersFromFile(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "servers.toml")
	text := "[[servers]]\naddress = '127.0.1.1:9000'\nslots = 8\nconnections = 64\nspeed = 0.5\n"
	is.NoErr(os.WriteFile(name, []byte(text), 0o600))
	c := workerCommand{Servers: name}
	servers, err := c.servers()
	is.NoErr(err)
	is.Equal(servers, []standin.ServerConfig{
		{Address: netip.MustParseAddrPort("127.0.1.1:9000"), Slots: 8, Connections: 64, Speed: 0.5},
	})
}
