package operator_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

// drainedTables returns the tables of the tests with the given value of drained-zones.
func drainedTables(value string) (*operator.Tables, error) {
	body := bytes.Replace([]byte(routesFile+poolsFile), []byte("[[pools]]"), []byte("[[pools]]\ndrained-zones = "+value), 1)
	return operator.ParseTables(operator.File{Body: body})
}

// Guards against drained zones that are lost or reordered by an encoding, and against an
// encoding of tables without any that differs from that of earlier versions.
func TestDrainedZonesAreEncoded(t *testing.T) {
	is := is.New(t)
	tables, err := drainedTables(`["hr-north-b", "hr-north-a"]`)
	is.NoErr(err)
	is.Equal(tables.Pools[0].DrainedZones, []string{"hr-north-a", "hr-north-b"})
	is.True(tables.Pools[0].Drained("hr-north-a"))
	is.True(!tables.Pools[0].Drained("hr-north-c"))
	body, err := tables.Encode()
	is.NoErr(err)
	decoded, err := operator.DecodeTables(body)
	is.NoErr(err)
	is.Equal(decoded, tables)
	file, err := tables.EncodeTOML()
	is.NoErr(err)
	reparsed, err := operator.ParseTables(operator.File{Body: file})
	is.NoErr(err)
	is.Equal(reparsed, tables)

	none, err := drainedTables(`[]`)
	is.NoErr(err)
	body, err = none.Encode()
	is.NoErr(err)
	is.True(!strings.Contains(string(body), "drained"))
}

// Guards against a zone whose name is mistyped, so that nothing would be drained.
func TestDrainedZonesAreChecked(t *testing.T) {
	for value, want := range map[string]string{
		`["hr-north-c"]`:               `pools.editing.drained-zones: no server of the pool is in zone "hr-north-c"`,
		`["hr-north-a", "hr-north-a"]`: `pools.editing.drained-zones: "hr-north-a" is listed twice`,
	} {
		is := is.New(t)
		_, err := drainedTables(value)
		var check *operator.CheckError
		is.True(errors.As(err, &check))
		is.Equal(len(check.Problems), 1)
		is.Equal(check.Problems[0].String(), want)
	}
}

// Guards against a drained zone that audit does not show.
func TestDiffNamesDrainedZones(t *testing.T) {
	is := is.New(t)
	none, err := drainedTables(`[]`)
	is.NoErr(err)
	one, err := drainedTables(`["hr-north-a"]`)
	is.NoErr(err)
	other, err := drainedTables(`["hr-north-b"]`)
	is.NoErr(err)
	is.Equal(operator.Diff(none, none).String(), "nothing")
	is.Equal(operator.Diff(none, one).String(), "drained-zones +editing/hr-north-a")
	is.Equal(operator.Diff(one, other).String(), "drained-zones +editing/hr-north-b -editing/hr-north-a")
}
