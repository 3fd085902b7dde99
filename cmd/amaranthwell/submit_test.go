package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
)

// The command submit prints a summary line and returns the exit code for each status of
// an answer.
func TestSubmitSummaryAndExitCode(t *testing.T) {
	key := caller.Key{Owner: netip.MustParseAddrPort("127.0.0.1:7000"), Serial: 1}.String()
	tests := []struct {
		body    string
		summary string
		status  caller.Status
		exit    int
	}{
		{`{"key":%q,"status":"complete","results":["",""]}`, `^job \S+ status=complete tasks=2 took=\S+\n$`, caller.Complete, exitDone},
		{`{"key":%q,"status":"failed","reason":"task-failed"}`, `^job \S+ status=failed reason=task-failed tasks=2 took=\S+\n$`, caller.Failed, exitRefused},
		{`{"key":%q,"status":"not-run","reason":"unknown-route"}`, `^job \S+ status=not-run reason=unknown-route tasks=2 took=\S+\n$`, caller.NotRun, exitRefused},
		{`{"key":%q,"status":"unknown","reason":"owner-gone"}`, `^job \S+ status=unknown reason=owner-gone tasks=2 took=\S+\n$`, caller.Unknown, exitUnknown},
	}
	for _, test := range tests {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, test.body, key)
		}))
		var out bytes.Buffer
		command := submitCommand{
			Entries: []string{server.URL}, Route: "previews", Tasks: 2, Timeout: time.Minute, Key: key, stdout: &out,
		}
		err := command.Execute(nil)
		server.Close()
		var incomplete *incompleteError
		is.Equal(errors.As(err, &incomplete), test.status != caller.Complete)
		if err != nil {
			is.Equal(exitCode(err), test.exit)
		}
		is.True(regexp.MustCompile(test.summary).MatchString(out.String()))
	}
}
