package caller_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func ExampleClient() {
	echo := func(_ context.Context, job caller.Job) (caller.Answer, error) {
		return caller.Answer{Key: job.Key, Status: caller.Complete, Results: job.Tasks}, nil
	}
	issuer, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{Owner: netip.MustParseAddrPort("127.0.0.1:7000")})
	if err != nil {
		fmt.Println(err)
		return
	}
	server := httptest.NewServer(newHandler(fakeSubmitter{issuer: issuer, submit: echo}))
	defer server.Close()
	entry, err := url.Parse(server.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	client, err := caller.NewClient(caller.ClientConfig{
		Entries:      []*url.URL{entry},
		Random:       rand.New(rand.NewPCG(1, 2)),
		KeyBatchSize: 10,
		GracePeriod:  time.Second,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	job := caller.Job{Route: "previews", Timeout: 2 * time.Second, Tasks: [][]byte{[]byte("raw")}}
	answer, err := client.Submit(context.Background(), job, caller.RetryPolicy{NotRunRetries: 3})
	fmt.Println(answer.Status, len(answer.Results), err)
	// Output: complete 1 <nil>
}

// TestClientRetriesByAnswer checks after which answers and failures a client
// submits a job again, and under which key. A retry under a new key instead of
// the same key could run the job twice.
func TestClientRetriesByAnswer(t *testing.T) {
	overload := answerReply(caller.NotRun, caller.ReasonOverload)
	unreachable := answerReply(caller.Unknown, caller.ReasonOwnerUnreachable)
	gone := answerReply(caller.Unknown, caller.ReasonOwnerGone)
	tests := []struct {
		name   string
		policy caller.RetryPolicy
		script []reply
		status caller.Status
		// keys holds one digit for each submission: the index of its key in
		// the order of first use.
		keys string
	}{
		{"complete", caller.RetryPolicy{}, []reply{complete}, caller.Complete, "0"},
		{"connection lost", caller.RetryPolicy{}, []reply{breakConnection, breakConnection, complete}, caller.Complete, "000"},
		{"truncated answer", caller.RetryPolicy{}, []reply{truncateAnswer, complete}, caller.Complete, "00"},
		{"other key", caller.RetryPolicy{}, []reply{rawReply(200, `{"key":"","status":"complete","results":["","%.0s"]}`), complete}, caller.Complete, "00"},
		{"partial", caller.RetryPolicy{}, []reply{rawReply(200, `{"key":"%s","status":"complete","results":[""]}`), complete}, caller.Complete, "00"},
		{"failed with results", caller.RetryPolicy{}, []reply{rawReply(502, `{"key":"%s","status":"failed","results":[""]}`), complete}, caller.Complete, "00"},
		{"undefined status", caller.RetryPolicy{}, []reply{rawReply(200, `{"key":"%s","status":"done"}`), complete}, caller.Complete, "00"},
		{"load balancer's error page", caller.RetryPolicy{}, []reply{rawReply(503, "<html>%.0s"), complete}, caller.Complete, "00"},
		{"internal error", caller.RetryPolicy{}, []reply{rawReply(500, `{"error":"internal%.0s"}`), complete}, caller.Complete, "00"},
		{"owner unreachable", caller.RetryPolicy{}, []reply{unreachable, unreachable, complete}, caller.Complete, "000"},
		{"failed", caller.RetryPolicy{NotRunRetries: 9, Idempotent: true}, []reply{answerReply(caller.Failed, caller.ReasonTaskFailed)}, caller.Failed, "0"},
		{"not run", caller.RetryPolicy{Idempotent: true}, []reply{overload}, caller.NotRun, "0"},
		{"not run, retried", caller.RetryPolicy{NotRunRetries: 2}, []reply{overload, overload, complete}, caller.Complete, "012"},
		{"not run, retries exhausted", caller.RetryPolicy{NotRunRetries: 1}, []reply{overload}, caller.NotRun, "01"},
		{"not run, not retryable", caller.RetryPolicy{NotRunRetries: 9}, []reply{answerReply(caller.NotRun, caller.ReasonUnknownRoute)}, caller.NotRun, "0"},
		{"owner gone", caller.RetryPolicy{NotRunRetries: 9}, []reply{gone}, caller.Unknown, "0"},
		{"owner gone, idempotent", caller.RetryPolicy{Idempotent: true}, []reply{gone, breakConnection, complete}, caller.Complete, "011"},
		{"outcome unknown", caller.RetryPolicy{NotRunRetries: 9, Idempotent: true}, []reply{answerReply(caller.Unknown, caller.ReasonKeyReused)}, caller.Unknown, "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			entry, client := startEntry(t, test.script...)
			got, err := client.Submit(context.Background(), previews, test.policy)
			is.NoErr(err)
			is.Equal(got.Status, test.status)
			is.Equal(keyNumbers(entry.jobs), test.keys)
			is.Equal(got.Key.String(), entry.jobs[len(entry.jobs)-1].Key)
		})
	}
}

// keyNumbers returns one digit for each job: the index of its key in the order
// of first use.
func keyNumbers(jobs []receivedJob) string {
	numbers := make(map[string]int)
	text := ""
	for _, job := range jobs {
		if _, ok := numbers[job.Key]; !ok {
			numbers[job.Key] = len(numbers)
		}
		text += fmt.Sprint(numbers[job.Key])
	}
	return text
}

func TestClientReturnsLastAnswerOrNoAnswerError(t *testing.T) {
	// end returns a reply that cancels the caller's context and breaks the
	// connection.
	end := func(cancel func()) reply {
		return func(http.ResponseWriter, receivedJob) {
			cancel()
			panic(http.ErrAbortHandler)
		}
	}
	t.Run("last answer", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		_, client := startEntry(t, answerReply(caller.Unknown, caller.ReasonOwnerUnreachable), end(cancel))
		got, err := client.Submit(ctx, previews, caller.RetryPolicy{})
		is.NoErr(err)
		is.Equal(got.Reason, caller.ReasonOwnerUnreachable)
	})
	// The job may be running under its second key, so the client must not
	// return the refusal under the first.
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		entry, client := startEntry(t, answerReply(caller.NotRun, caller.ReasonOverload), breakConnection, end(cancel))
		_, err := client.Submit(ctx, previews, caller.RetryPolicy{NotRunRetries: 1})
		var noAnswer *caller.NoAnswerError
		is.True(errors.As(err, &noAnswer))
		entry.mu.Lock()
		defer entry.mu.Unlock()
		is.Equal(noAnswer.Attempts, 3)
		is.Equal(noAnswer.Key.String(), entry.jobs[1].Key)
	})
	t.Run("no entry reachable", func(t *testing.T) {
		is := is.New(t)
		server := httptest.NewServer(nil)
		server.Close()
		job := previews
		job.Timeout = 50 * time.Millisecond
		_, err := newClient(t, 0, server).Submit(context.Background(), job, caller.RetryPolicy{})
		var noAnswer *caller.NoAnswerError
		is.True(errors.As(err, &noAnswer))
		is.True(noAnswer.Key.IsZero())
		is.Equal(noAnswer.Attempts, 0)
	})
}

// TestClientReturnsRequestErrors checks that a client does not retry a request
// that the entry rejects as invalid.
func TestClientReturnsRequestErrors(t *testing.T) {
	is := is.New(t)
	entry, client := startEntry(t, rawReply(400, `{"error":"no-route","message":"%.0s"}`))
	_, err := client.Submit(context.Background(), previews, caller.RetryPolicy{})
	var requestErr *caller.RequestError
	is.True(errors.As(err, &requestErr))
	is.Equal(requestErr.Fault, caller.FaultNoRoute)
	is.Equal(len(entry.jobs), 1)
}

// TestClientTriesNextEntry checks that a client with two entries gets an answer
// if one of them is down, or accepts jobs but never answers, whichever entry it
// tries first.
func TestClientTriesNextEntry(t *testing.T) {
	live, _ := startEntry(t, complete)
	up := httptest.NewServer(live)
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer silent.Close()
	// If an attempt times out on a slow machine, the client tries again.
	const attemptTimeout = 200 * time.Millisecond
	for _, servers := range [][]*httptest.Server{{up, down}, {down, up}, {up, silent}, {silent, up}} {
		is := is.New(t)
		got, err := newClient(t, attemptTimeout, servers...).Submit(context.Background(), previews, caller.RetryPolicy{})
		is.NoErr(err)
		is.Equal(got.Status, caller.Complete)
	}
}

// TestClientCachesKeys checks how often a client fetches keys. The entry issues
// three keys at a time. The client uses a cached key only within the first half
// of the time for its first use, and drops the keys of an issuer that is gone.
func TestClientCachesKeys(t *testing.T) {
	withNextKey := func(w http.ResponseWriter, job receivedJob) {
		w.Header().Set(caller.NextKeyHeader, newKeyIssuer(t, "127.0.0.1:7000", 1).Issue(issuerStart).String())
		complete(w, job)
	}
	tests := []struct {
		name      string
		useWithin string
		script    []reply
		fetches   int
	}{
		{"batch", "1h", []reply{complete}, 2},                 // 5 jobs, 3 keys each
		{"next key", "1h", []reply{withNextKey, complete}, 2}, // 1 key more
		{"next key each", "1h", []reply{withNextKey}, 1},
		{"issuer gone", "1h", []reply{answerReply(caller.Unknown, caller.ReasonOwnerGone), complete}, 3}, // 1 + 3 + 1 jobs
		{"short use", "1µs", []reply{complete}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			entry, client := startEntry(t, test.script...)
			entry.useWithin = test.useWithin
			for range 5 {
				_, err := client.Submit(context.Background(), previews, caller.RetryPolicy{})
				is.NoErr(err)
			}
			is.Equal(entry.fetches, test.fetches)
		})
	}
}

// TestClientSendsRemainingTimeout checks that the timeout sent with a repeated
// submission is the time that is left, not the whole timeout again.
func TestClientSendsRemainingTimeout(t *testing.T) {
	is := is.New(t)
	entry, client := startEntry(t, breakConnection, complete)
	job := previews
	job.Timeout = time.Hour
	_, err := client.Submit(context.Background(), job, caller.RetryPolicy{})
	is.NoErr(err)
	first, err := time.ParseDuration(entry.jobs[0].Timeout)
	is.NoErr(err)
	second, err := time.ParseDuration(entry.jobs[1].Timeout)
	is.NoErr(err)
	is.True(second < first)
}

// A tableSubmitter is a Submitter that uses a SubmissionTable as an entry
// instance does, and completes each accepted job at once.
type tableSubmitter struct {
	mu     sync.Mutex
	issuer *caller.KeyIssuer
	table  *caller.SubmissionTable[chan caller.Answer]
	runs   int
}

func (s *tableSubmitter) IssueKeys(n int) ([]caller.Key, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]caller.Key, n)
	for i := range keys {
		keys[i] = s.issuer.Issue(issuerStart)
	}
	return keys, nil
}

func (s *tableSubmitter) Cancel(context.Context, caller.Key) error { return nil }

func (s *tableSubmitter) Submit(_ context.Context, job caller.Job) (caller.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan caller.Answer, 1)
	decision, answer := s.table.Submit(issuerStart, job, w)
	if decision != caller.Accept {
		return answer, nil
	}
	s.runs++
	answer = caller.Answer{Key: job.Key, Status: caller.Complete, Results: job.Tasks}
	s.table.Finish(issuerStart, job.Key, answer)
	return answer, nil
}

// TestClientAndSubmissionTableRunEachJobOnce checks that a job runs once even
// if its answer is lost and the client submits it again. The answer to every
// third submission is lost. The client gets keys in batches and with answers.
func TestClientAndSubmissionTableRunEachJobOnce(t *testing.T) {
	is := is.New(t)
	table, err := caller.NewSubmissionTable[chan caller.Answer](caller.SubmissionTableConfig{
		Start: issuerStart, UseWithin: time.Hour, KeepFor: time.Hour, MaxRecords: 1000, MaxAnswerBytes: 1 << 20,
	})
	is.NoErr(err)
	s := &tableSubmitter{issuer: newKeyIssuer(t, "127.0.0.1:7000", 1), table: table}
	handler := newHandler(s)
	var mu sync.Mutex
	fetches, submissions := 0, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		lost := false
		if r.URL.Path == "/v1/keys" {
			fetches++
		} else {
			submissions++
			lost = submissions%3 == 0
		}
		mu.Unlock()
		if lost {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := newClient(t, 0, server)
	const jobs = 60
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			got, err := client.Submit(context.Background(), previews, caller.RetryPolicy{})
			if err != nil || got.Status != caller.Complete {
				t.Error(got, err)
			}
		})
	}
	group.Wait()
	is.Equal(s.runs, jobs)
	is.True(submissions > jobs)
	is.True(fetches > 0)
}

func TestClientCancels(t *testing.T) {
	is := is.New(t)
	var cancelled caller.Key
	server := httptest.NewServer(newHandler(fakeSubmitter{cancel: func(key caller.Key) error {
		cancelled = key
		return nil
	}}))
	defer server.Close()
	key := newKeyIssuer(t, "127.0.0.1:7000", 1).Issue(issuerStart)
	is.NoErr(newClient(t, 0, server).Cancel(context.Background(), key))
	is.Equal(cancelled, key)
}
