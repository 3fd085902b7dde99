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

type bench struct {
	store   *standin.Store
	url     string
	valid   string
	changed string
	invalid string
}

func newBench(t *testing.T) *bench {
	b := &bench{store: standin.NewStore(standin.StoreConfig{})}
	server := httptest.NewServer(b.store)
	t.Cleanup(server.Close)
	b.url = server.URL
	write := func(name, old, with string) string {
		path := filepath.Join(t.TempDir(), name)
		body := strings.ReplaceAll(tablesFile, old, with)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	b.valid = write("valid.toml", "", "")
	b.changed = write("changed.toml", "share = 4", "share = 5")
	b.invalid = write("invalid.toml", "share = 4", "share = 0")
	return b
}

// run runs one command line and returns its exit code and output.
func (b *bench) run(args ...string) (int, string) {
	var out bytes.Buffer
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, "URL", b.url)
	}
	code := run(args, environment{stdout: &out, stderr: &out, newLog: newLog})
	return code, out.String()
}

func TestUsage(t *testing.T) {
	b := newBench(t)
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
		{[]string{"publish", "--log", "URL", "--author", "ana", "--edit-id", "x", b.valid}, 2, "--edit-id"},
		{[]string{"publish", "--log", "URL", "--author", "ana", "--base", "1", "--reset", b.valid}, 2, "exclude"},
		{[]string{"check", b.valid}, 0, "valid: 1 routes, 1 pools, 1 servers"},
		{[]string{"check", b.invalid}, 1, "routes.previews.share: 0 is not in [1, 1000]"},
		{[]string{"publish", "--log", "URL", "--author", "ana", b.invalid}, 1, "routes.previews.share"},
		{[]string{"publish", "--log", "URL", "--author", "a\tb", b.valid}, 1, "author not printable"},
	}
	for _, test := range tests {
		is := is.New(t)
		code, out := b.run(test.args...)
		is.Equal(code, test.code)
		is.True(strings.Contains(out, test.want))
	}
	is.New(t).Equal(b.store.End(operator.Stream), int64(0)) // None of these published anything.
}

func TestPublishShowAudit(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	code, out := b.run("publish", "--log", "URL", "--author", "ana", b.valid)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 1 at offset 1: routes +previews; pools +editing; servers +127.0.0.1:7000"))
	code, _ = b.run("publish", "--log", "URL", "--author", "ivo", b.changed)
	is.Equal(code, 0)
	code, out = b.run("publish", "--log", "URL", "--author", "eva", "--base", "1", b.valid)
	is.Equal(code, 1)
	is.True(strings.Contains(out, "refused: stale-base; the current revision is 2 by ivo"))

	code, out = b.run("show", "--log", "URL")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "revision 2 by ivo at offset 3: 1 routes, 1 pools, 1 servers\nroute previews: pool editing, urgency 0, share 5"))
	code, out = b.run("show", "--toml", "--log", "URL")
	is.Equal(code, 0)
	is.NoErr(os.WriteFile(b.valid, []byte(out), 0o600))
	code, _ = b.run("check", b.valid)
	is.Equal(code, 0)

	code, out = b.run("audit", "--log", "URL")
	is.Equal(code, 0)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasPrefix(lines[1], "offset 2: "))
	is.True(strings.HasSuffix(lines[1], "from revision 1: accepted as revision 2: routes ~previews"))
	is.True(strings.HasSuffix(lines[2], "from revision 1: refused: stale-base; revision 2 by ivo stays"))
}

// TestPublishUnknown loses the answer and then all calls, and repeats the edit
// with the ID that was printed first.
func TestPublishUnknown(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.store.SetDown(true)
	code, out := b.run("publish", "--log", "URL", "--author", "ana", "--timeout", "1ms", b.valid)
	is.Equal(code, 3)
	is.True(strings.Contains(out, "repeat with --edit-id"))
	id := regexp.MustCompile(`^edit-id: (\S+)\n`).FindStringSubmatch(out)[1]

	b.store.SetDown(false)
	for range 2 {
		code, out = b.run("publish", "--log", "URL", "--author", "ana", "--edit-id", id, b.valid)
		is.Equal(code, 0)
		is.True(strings.Contains(out, "accepted: revision 1 at offset 1"))
	}
	is.Equal(b.store.End(operator.Stream), int64(1))

	b.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	code, out = b.run("publish", "--log", "URL", "--author", "ana", b.changed)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 2 at offset 2"))

	b.store.Expire(operator.Stream, 2) // The log has lost what it held, and no snapshot was published.
	for _, command := range []string{"show", "audit"} {
		code, out = b.run(command, "--log", "URL")
		is.Equal(code, 3)
		is.True(strings.Contains(out, "no snapshot"))
	}
	code, out = b.run("publish", "--log", "URL", "--author", "ana", "--reset", b.changed)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "accepted: revision 3 at offset 3"))
}
