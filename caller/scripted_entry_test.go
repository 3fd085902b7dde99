package caller_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
)

// A reply answers one submission of a scriptedEntry.
type reply func(w http.ResponseWriter, job receivedJob)

// A receivedJob is a job as received over HTTP.
type receivedJob struct {
	Key     string   `json:"key"`
	Timeout string   `json:"timeout"`
	Tasks   [][]byte `json:"tasks"`
}

// A scriptedEntry is an entry that issues keys and answers each job with the
// next reply of a script. It repeats the last reply.
type scriptedEntry struct {
	mu     sync.Mutex
	issuer *caller.KeyIssuer
	// script holds the replies that are left, and jobs the jobs received.
	script []reply
	jobs   []receivedJob
	// fetches is the number of requests for keys.
	fetches int
	// useWithin is the age at which a key can no longer be used for the first
	// time.
	useWithin string
}

func (e *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/keys" {
		e.fetches++
		keys := []caller.Key{e.issuer.Issue(issuerStart), e.issuer.Issue(issuerStart), e.issuer.Issue(issuerStart)}
		_ = json.NewEncoder(w).Encode(map[string]any{"keys": keys, "use-within": e.useWithin})
		return
	}
	var job receivedJob
	_ = json.NewDecoder(r.Body).Decode(&job)
	e.jobs = append(e.jobs, job)
	next := e.script[0]
	if len(e.script) > 1 {
		e.script = e.script[1:]
	}
	next(w, job)
}

// answerReply returns a reply with the given status and reason, and with the
// tasks as results if the status is Complete.
func answerReply(status caller.Status, reason caller.Reason) reply {
	return func(w http.ResponseWriter, job receivedJob) {
		body := map[string]any{"key": job.Key, "status": status, "reason": reason}
		if status == caller.Complete {
			body["results"] = job.Tasks
		}
		_ = json.NewEncoder(w).Encode(body)
	}
}

// rawReply returns a reply with the given status code and body. The body is a
// format string whose argument is the job's key.
func rawReply(code int, body string) reply {
	return func(w http.ResponseWriter, job receivedJob) {
		w.WriteHeader(code)
		_, _ = fmt.Fprintf(w, body, job.Key)
	}
}

// breakConnection breaks the connection without a reply.
func breakConnection(http.ResponseWriter, receivedJob) {
	panic(http.ErrAbortHandler)
}

// truncateAnswer breaks the connection in the middle of a complete answer.
func truncateAnswer(w http.ResponseWriter, job receivedJob) {
	w.Header().Set("Content-Length", "1000")
	_, _ = fmt.Fprintf(w, `{"key":%q,"status":"complete","results":[""]}`, job.Key)
	panic(http.ErrAbortHandler)
}

var complete = answerReply(caller.Complete, "")

// startEntry runs an entry with the given script until the test ends, and
// returns it with a client that uses it.
func startEntry(t *testing.T, script ...reply) (*scriptedEntry, *caller.Client) {
	t.Helper()
	entry := &scriptedEntry{issuer: newKeyIssuer(t, "127.0.0.1:7000", 1), script: script, useWithin: "1h"}
	server := httptest.NewServer(entry)
	t.Cleanup(server.Close)
	return entry, newClient(t, 0, server)
}

func newClient(t *testing.T, attemptTimeout time.Duration, servers ...*httptest.Server) *caller.Client {
	t.Helper()
	var entries []*url.URL
	for _, server := range servers {
		entry, err := url.Parse(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, entry)
	}
	client, err := caller.NewClient(caller.ClientConfig{
		Entries:        entries,
		Random:         rand.New(rand.NewPCG(1, 2)),
		KeyBatchSize:   10,
		AttemptTimeout: attemptTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

var previews = caller.Job{Route: "previews", Tasks: [][]byte{[]byte("a"), {}}}
