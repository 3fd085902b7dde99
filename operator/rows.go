package operator

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// document is the encoding of the tables in a TOML file and in a log record.
type document struct {
	Routes []routeRow `toml:"routes" json:"routes"`
	Pools  []poolRow  `toml:"pools" json:"pools"`
}

type routeRow struct {
	Name       string  `toml:"name" json:"name"`
	Pool       string  `toml:"pool" json:"pool"`
	Urgency    int     `toml:"urgency" json:"urgency"`
	Share      int     `toml:"share" json:"share"`
	Idempotent bool    `toml:"idempotent" json:"idempotent"`
	Timeout    string  `toml:"timeout" json:"timeout"`
	Cores      float64 `toml:"cores" json:"cores"`
	MemoryMiB  int     `toml:"memory-mib" json:"memory-mib"`
}

type poolRow struct {
	Name string `toml:"name" json:"name"`
	// DrainedZones is omitted if it is empty, so that the encodings of tables without
	// drained zones are those of earlier versions, whose digests are compared.
	DrainedZones []string    `toml:"drained-zones,omitempty" json:"drained-zones,omitempty"`
	Servers      []serverRow `toml:"servers" json:"servers"`
}

type serverRow struct {
	Address     string `toml:"address" json:"address"`
	Zone        string `toml:"zone" json:"zone"`
	Rack        string `toml:"rack" json:"rack"`
	Slots       int    `toml:"slots" json:"slots"`
	Connections int    `toml:"connections" json:"connections"`
	Cores       int    `toml:"cores" json:"cores"`
	MemoryMiB   int    `toml:"memory-mib" json:"memory-mib"`
}

// newDocument returns the rows of t in the order of t.
func newDocument(t *Tables) document {
	d := document{Routes: []routeRow{}, Pools: []poolRow{}}
	for _, r := range t.Routes {
		d.Routes = append(d.Routes, routeRow{
			Name:       r.Name,
			Pool:       r.Pool,
			Urgency:    r.Urgency,
			Share:      r.Share,
			Idempotent: r.Idempotent,
			Timeout:    r.Timeout.String(),
			Cores:      r.Cores,
			MemoryMiB:  r.MemoryMiB,
		})
	}
	for _, p := range t.Pools {
		row := poolRow{Name: p.Name, DrainedZones: p.DrainedZones}
		for _, s := range p.Servers {
			row.Servers = append(row.Servers, serverRow{
				Address:     s.Address.String(),
				Zone:        s.Zone,
				Rack:        s.Rack,
				Slots:       s.Slots,
				Connections: s.Connections,
				Cores:       s.Cores,
				MemoryMiB:   s.MemoryMiB,
			})
		}
		d.Pools = append(d.Pools, row)
	}
	return d
}

// EncodeTOML returns t as a TOML file that ParseTables accepts.
func (t *Tables) EncodeTOML() ([]byte, error) {
	return toml.Marshal(newDocument(t))
}

// Encode returns the canonical encoding of t, in JSON: equal tables have equal
// encodings.
func (t *Tables) Encode() ([]byte, error) {
	return json.Marshal(newDocument(t))
}

// DecodeTables returns the tables that body encodes in the form of Encode. It
// returns a *CheckError if they are out of range, and another error if body is
// malformed.
func DecodeTables(body []byte) (*Tables, error) {
	var d document
	if err := decodeStrict(body, &d); err != nil {
		return nil, err
	}
	return checkDocument(d)
}

// decodeStrict decodes one JSON value. It rejects unknown keys and data after
// the value.
func decodeStrict(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}
