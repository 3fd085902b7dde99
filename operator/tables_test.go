package operator_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

const poolsFile = `
[[pools]]
name = "editing"
[[pools.servers]]
address = "127.0.0.1:7001"
zone = "hr-north-b"
rack = "rack-2"
slots = 8
connections = 64
cores = 16
memory-mib = 65536
[[pools.servers]]
address = "127.0.0.1:7000"
zone = "hr-north-a"
rack = "rack-1"
slots = 8
connections = 64
cores = 16
memory-mib = 65536
`

const routesFile = `
[[routes]]
name = "thumbnails"
pool = "editing"
urgency = 10
share = 1
idempotent = true
timeout = "1m"
cores = 1.5
memory-mib = 100
[[routes]]
name = "previews"
pool = "editing"
urgency = 90
share = 4
timeout = "5s"
`

func ExampleParseTables() {
	_, err := operator.ParseTables(operator.File{Name: "routes.toml", Body: []byte(`
[[routes]]
name = "previews"
pool = "editing"
share = 0
timeout = "5s"
`)})
	var check *operator.CheckError
	if errors.As(err, &check) {
		for _, problem := range check.Problems {
			fmt.Println(problem)
		}
	}
	// Output:
	// routes.toml: routes.previews.pool: no pool is named "editing"
	// routes.toml: routes.previews.share: 0 is not in [1, 1000]
}

// TestParseTables checks that tables do not depend on the order of the files, and that
// they stay the same when they are encoded, in JSON or TOML, and decoded.
func TestParseTables(t *testing.T) {
	is := is.New(t)
	routes := operator.File{Name: "routes.toml", Body: []byte(routesFile)}
	pools := operator.File{Name: "pools.toml", Body: []byte(poolsFile)}
	tables, err := operator.ParseTables(routes, pools)
	is.NoErr(err)
	is.Equal(tables.Routes[0].Name, "previews")
	is.Equal(tables.Routes[0].Timeout, 5*time.Second)
	is.Equal(tables.Pools[0].Servers[0].Zone, "hr-north-a") // Sorted by address.

	swapped, err := operator.ParseTables(pools, routes)
	is.NoErr(err)
	is.Equal(swapped, tables)

	body, err := tables.Encode()
	is.NoErr(err)
	decoded, err := operator.DecodeTables(body)
	is.NoErr(err)
	is.Equal(decoded, tables)
	_, err = operator.DecodeTables(append(body, "{}"...))
	is.True(err != nil)
	again, err := decoded.Encode()
	is.NoErr(err)
	is.True(bytes.Equal(again, body))

	file, err := tables.EncodeTOML()
	is.NoErr(err)
	reparsed, err := operator.ParseTables(operator.File{Body: file})
	is.NoErr(err)
	is.Equal(reparsed, tables)
}

// TestParseTablesReportsProblems checks that each problem is reported at its key,
// together with all others of the file.
func TestParseTablesReportsProblems(t *testing.T) {
	whole := routesFile + poolsFile
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"share", "share = 4", "share = 1001", []string{"routes.previews.share"}},
		{"urgency", "urgency = 90", "urgency = 101", []string{"routes.previews.urgency"}},
		{"urgency below", "urgency = 90", "urgency = -1", []string{"routes.previews.urgency"}},
		{"timeout form", `"5s"`, `"5"`, []string{"routes.previews.timeout"}},
		{"timeout range", `"5s"`, `"25h"`, []string{"routes.previews.timeout"}},
		{"cores", "cores = 1.5", "cores = nan", []string{"routes.thumbnails.cores"}},
		{"name", `"previews"`, `"Pre views"`, []string{"routes[2].name"}},
		{"duplicate route", `"previews"`, `"thumbnails"`, []string{"routes.thumbnails.name"}},
		{"duplicate server", "7001", "7000", []string{"pools.editing.servers[2].address"}},
		{"mapped server", "127.0.0.1:7001", "[::ffff:127.0.0.1]:7000", []string{"pools.editing.servers[2].address"}},
		{"no port", "127.0.0.1:7001", "127.0.0.1", []string{"pools.editing.servers[1].address"}},
		{"unspecified", "127.0.0.1:7001", "0.0.0.0:7001", []string{"pools.editing.servers[1].address"}},
		{"slots", "slots = 8", "slots = 0", []string{"pools.editing.servers[1].slots", "pools.editing.servers[2].slots"}},
		{"zone", `"hr-north-b"`, `""`, []string{"pools.editing.servers[1].zone"}},
		{"unknown key", "share = 4", "share = 4\nweight = 4", []string{"routes.weight"}},
		{"unknown key and range", "share = 4", "share = 0\nweight = 4", []string{"routes.weight", "routes.previews.share"}},
		{"unknown pool", `name = "editing"`, `name = "other"`, []string{"routes.thumbnails.pool", "routes.previews.pool"}},
		{"duplicate pool", "[[pools]]", "[[pools]]\nname = \"editing\"\n[[pools]]", []string{"pools.editing.servers", "pools.editing.name"}},
		{"type", "share = 4", "share = \"4\"", []string{"routes.share"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			body := bytes.ReplaceAll([]byte(whole), []byte(test.old), []byte(test.new))
			_, err := operator.ParseTables(operator.File{Name: "tables.toml", Body: body})
			var check *operator.CheckError
			is.True(errors.As(err, &check))
			var keys []string
			for _, p := range check.Problems {
				is.Equal(p.File, "tables.toml")
				keys = append(keys, p.Key)
			}
			is.Equal(keys, test.want)
		})
	}
}

// TestParseTablesLimits checks the problems of no route and of too many routes.
func TestParseTablesLimits(t *testing.T) {
	is := is.New(t)
	_, err := operator.ParseTables()
	is.Equal(err.Error(), "routes: no route")

	tables := newTables(1)
	for i := range operator.MaxRoutes {
		r := tables.Routes[0]
		r.Name = fmt.Sprintf("route-%d", i)
		tables.Routes = append(tables.Routes, r)
	}
	body, err := tables.Encode()
	is.NoErr(err)
	_, err = operator.DecodeTables(body)
	is.Equal(err.Error(), "routes: 257 routes are more than 256")
}
