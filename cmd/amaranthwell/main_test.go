package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/standin"
)

const tablesFile = `
[[routes]]
name = "previews"
pool = "editing"
share = 4
timeout = "5s"
[[pools]]
name = "editing"
[[pools.servers]]
address = "127.0.0.1:7000"
zone = "hr-north-a"
rack = "rack-1"
slots = 8
connections = 64
cores = 16
memory-mib = 65536
`

// commandFixture holds a store and files of tables for tests of the commands.
type commandFixture struct {
	store *standin.Store
	url   string
	// valid, changed and invalid are the paths of files of tables. changed differs
	// from valid in the share of the route.
	valid   string
	changed string
	invalid string
}

func newCommandFixture(t *testing.T) *commandFixture {
	f := &commandFixture{store: standin.NewStore(standin.StoreConfig{})}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.url = server.URL
	write := func(name, old, with string) string {
		path := filepath.Join(t.TempDir(), name)
		body := strings.ReplaceAll(tablesFile, old, with)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	f.valid = write("valid.toml", "", "")
	f.changed = write("changed.toml", "share = 4", "share = 5")
	f.invalid = write("invalid.toml", "share = 4", "share = 0")
	return f
}

// run runs one command line, in which URL stands for the store's URL. It returns the
// exit code and the output.
func (f *commandFixture) run(args ...string) (int, string) {
	var out bytes.Buffer
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, "URL", f.url)
	}
	code := run(args, environment{stdout: &out, stderr: &out, newLog: newLog})
	return code, out.String()
}

// Each command line gives its exit code and output, and none publishes anything.
func TestCommandLineExitCodes(t *testing.T) {
	f := newCommandFixture(t)
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--version"}, 0, "amaranthwell devel"},
		{[]string{"--help"}, 0, "Exit codes"},
		{[]string{"publish", "--help"}, 0, "--edit-id"},
		{nil, 2, "Available commands"},
		{[]string{"other"}, 2, "unknown command"},
		{[]string{"show", "--log", "URL", "more"}, 2, `argument "more"`},
		{[]string{"check"}, 2, "FILE"},
		{[]string{"check", "no-such-file.toml"}, 2, "no-such-file.toml"},
		{[]string{"show"}, 2, "--log"},
		{[]string{"publish", "--log", "URL", "--author", "ana", "--edit-id", "x", f.valid}, 2, "--edit-id"},
		{[]string{"publish", "--log", "URL", "--author", "ana", "--base", "1", "--reset", f.valid}, 2, "exclude"},
		{[]string{"check", f.valid}, 0, "valid: 1 routes, 1 pools, 1 servers"},
		{[]string{"check", f.invalid}, 1, "routes.previews.share: 0 is not in [1, 1000]"},
		{[]string{"publish", "--log", "URL", "--author", "ana", f.invalid}, 1, "routes.previews.share"},
		{[]string{"publish", "--log", "URL", "--author", "a\tb", f.valid}, 1, "author not printable"},
	}
	for _, test := range tests {
		is := is.New(t)
		code, out := f.run(test.args...)
		is.Equal(code, test.code)
		is.True(strings.Contains(out, test.want))
	}
	is.New(t).Equal(f.store.End(operator.Stream), int64(0)) // None of these commands published anything.
}

// The commands show and audit report what publish accepted and refused.
func TestPublishShowAudit(t *testing.T) {
	is := is.New(t)
	f := newCommandFixture(t)
	code, out := f.run("publish", "--log", "URL", "--author", "ana", f.valid)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 1 at offset 1: routes +previews; pools +editing; servers +127.0.0.1:7000"))
	code, _ = f.run("publish", "--log", "URL", "--author", "ivo", f.changed)
	is.Equal(code, 0)
	code, out = f.run("publish", "--log", "URL", "--author", "eva", "--base", "1", f.valid)
	is.Equal(code, 1)
	is.True(strings.Contains(out, "refused: stale-base; the current revision is 2 by ivo"))

	code, out = f.run("show", "--log", "URL")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "revision 2 by ivo at offset 3: 1 routes, 1 pools, 1 servers\nroute previews: pool editing, urgency 0, share 5"))
	code, out = f.run("show", "--toml", "--log", "URL")
	is.Equal(code, 0)
	is.NoErr(os.WriteFile(f.valid, []byte(out), 0o600))
	code, _ = f.run("check", f.valid)
	is.Equal(code, 0)

	code, out = f.run("audit", "--log", "URL")
	is.Equal(code, 0)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasPrefix(lines[1], "offset 2: "))
	is.True(strings.HasSuffix(lines[1], "from revision 1: accepted as revision 2: routes ~previews"))
	is.True(strings.HasSuffix(lines[2], "from revision 1: refused: stale-base; revision 2 by ivo stays"))
}

// Guards against commands that accept a drained zone and do not show it.
func TestCommandsShowDrainedZones(t *testing.T) {
	is := is.New(t)
	f := newCommandFixture(t)
	body, err := os.ReadFile(f.valid)
	is.NoErr(err)
	drain := func(zone string) {
		changed := strings.Replace(string(body), "[[pools]]", "[[pools]]\ndrained-zones = [\""+zone+"\"]", 1)
		is.NoErr(os.WriteFile(f.changed, []byte(changed), 0o600))
	}
	drain("nowhere")
	code, out := f.run("check", f.changed)
	is.Equal(code, 1)
	is.True(strings.Contains(out, `pools.editing.drained-zones: no server of the pool is in zone "nowhere"`))
	drain("hr-north-a")
	code, _ = f.run("check", f.changed)
	is.Equal(code, 0)
	for _, file := range []string{f.valid, f.changed} {
		code, out = f.run("publish", "--log", "URL", "--author", "ana", file)
		is.Equal(code, 0)
	}
	is.True(strings.Contains(out, "accepted: revision 2 at offset 2: drained-zones +editing/hr-north-a"))
	_, out = f.run("show", "--log", "URL")
	is.True(strings.Contains(out, "pool editing: 1 servers, 8 slots, drained in hr-north-a"))
	_, out = f.run("audit", "--log", "URL")
	is.True(strings.HasSuffix(strings.TrimSpace(out), "accepted as revision 2: drained-zones +editing/hr-north-a"))
}

// The outcome of a publication is unknown while the store is down. The edit is then
// repeated under the ID that was printed, and applied once. A lost answer and a log
// that has lost its records are covered too.
func TestPublishRepeatsEditOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newCommandFixture(t)
	f.store.SetDown(true)
	code, out := f.run("publish", "--log", "URL", "--author", "ana", "--timeout", "1ms", f.valid)
	is.Equal(code, 3)
	is.True(strings.Contains(out, "repeat with --edit-id"))
	id := regexp.MustCompile(`^edit-id: (\S+)\n`).FindStringSubmatch(out)[1]

	f.store.SetDown(false)
	for range 2 {
		code, out = f.run("publish", "--log", "URL", "--author", "ana", "--edit-id", id, f.valid)
		is.Equal(code, 0)
		is.True(strings.Contains(out, "accepted: revision 1 at offset 1"))
	}
	is.Equal(f.store.End(operator.Stream), int64(1))

	f.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	code, out = f.run("publish", "--log", "URL", "--author", "ana", f.changed)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 2 at offset 2"))

	f.store.Expire(operator.Stream, 2) // The records have expired, and no snapshot was published.
	for _, command := range []string{"show", "audit"} {
		code, out = f.run(command, "--log", "URL")
		is.Equal(code, 3)
		is.True(strings.Contains(out, "no snapshot"))
	}
	code, out = f.run("publish", "--log", "URL", "--author", "ana", "--reset", f.changed)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 3 at offset 3"))
}
