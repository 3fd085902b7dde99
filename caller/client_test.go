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
	keys, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{Owner: netip.MustParseAddrPort("127.0.0.1:7000")})
	if err != nil {
		fmt.Println(err)
		return
	}
	server := httptest.NewServer(newHandler(fakeSubmitter{keys: keys, submit: echo}))
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

func TestClientFollowsAnswers(t *testing.T) {
	overload := answer(caller.NotRun, caller.ReasonOverload)
	unreachable := answer(caller.Unknown, caller.ReasonOwnerUnreachable)
	gone := answer(caller.Unknown, caller.ReasonOwnerGone)
	tests := []struct {
		name   string
		policy caller.RetryPolicy
		script []reply
		status caller.Status
		// keys numbers the key of each submission by its first use.
		keys string
	}{
		{"complete", caller.RetryPolicy{}, []reply{complete}, caller.Complete, "0"},
		{"connection lost", caller.RetryPolicy{}, []reply{lose, lose, complete}, caller.Complete, "000"},
		{"answer cut", caller.RetryPolicy{}, []reply{cut, complete}, caller.Complete, "00"},
		{"other key", caller.RetryPolicy{}, []reply{raw(200, `{"key":"","status":"complete","results":["","%.0s"]}`), complete}, caller.Complete, "00"},
		{"partial", caller.RetryPolicy{}, []reply{raw(200, `{"key":"%s","status":"complete","results":[""]}`), complete}, caller.Complete, "00"},
		{"failed with results", caller.RetryPolicy{}, []reply{raw(502, `{"key":"%s","status":"failed","results":[""]}`), complete}, caller.Complete, "00"},
		{"no such status", caller.RetryPolicy{}, []reply{raw(200, `{"key":"%s","status":"done"}`), complete}, caller.Complete, "00"},
		{"balancer's page", caller.RetryPolicy{}, []reply{raw(503, "<html>%.0s"), complete}, caller.Complete, "00"},
		{"internal error", caller.RetryPolicy{}, []reply{raw(500, `{"error":"internal%.0s"}`), complete}, caller.Complete, "00"},
		{"owner unreachable", caller.RetryPolicy{}, []reply{unreachable, unreachable, complete}, caller.Complete, "000"},
		{"failed", caller.RetryPolicy{NotRunRetries: 9, Idempotent: true}, []reply{answer(caller.Failed, caller.ReasonTaskFailed)}, caller.Failed, "0"},
		{"not run", caller.RetryPolicy{Idempotent: true}, []reply{overload}, caller.NotRun, "0"},
		{"not run, anew", caller.RetryPolicy{NotRunRetries: 2}, []reply{overload, overload, complete}, caller.Complete, "012"},
		{"not run, anew in vain", caller.RetryPolicy{NotRunRetries: 1}, []reply{overload}, caller.NotRun, "01"},
		{"not run for good", caller.RetryPolicy{NotRunRetries: 9}, []reply{answer(caller.NotRun, caller.ReasonUnknownRoute)}, caller.NotRun, "0"},
		{"owner gone", caller.RetryPolicy{NotRunRetries: 9}, []reply{gone}, caller.Unknown, "0"},
		{"owner gone, idempotent", caller.RetryPolicy{Idempotent: true}, []reply{gone, lose, complete}, caller.Complete, "011"},
		{"outcome unknown", caller.RetryPolicy{NotRunRetries: 9, Idempotent: true}, []reply{answer(caller.Unknown, caller.ReasonKeyReused)}, caller.Unknown, "0"},
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

// keyNumbers numbers the keys of jobs by their first uses.
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

func TestClientGivesUp(t *testing.T) {
	// end ends the caller's patience and breaks the connection.
	end := func(cancel func()) reply {
		return func(http.ResponseWriter, receivedJob) {
			cancel()
			panic(http.ErrAbortHandler)
		}
	}
	t.Run("last answer", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		_, client := startEntry(t, answer(caller.Unknown, caller.ReasonOwnerUnreachable), end(cancel))
		got, err := client.Submit(ctx, previews, caller.RetryPolicy{})
		is.NoErr(err)
		is.Equal(got.Reason, caller.ReasonOwnerUnreachable)
	})
	// The job may be running under its second key, so the refusal of the
	// first is no answer.
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		entry, client := startEntry(t, answer(caller.NotRun, caller.ReasonOverload), lose, end(cancel))
		_, err := client.Submit(ctx, previews, caller.RetryPolicy{NotRunRetries: 1})
		var noAnswer *caller.NoAnswerError
		is.True(errors.As(err, &noAnswer))
		entry.mu.Lock()
		defer entry.mu.Unlock()
		is.Equal(noAnswer.Attempts, 3)
		is.Equal(noAnswer.Key.String(), entry.jobs[1].Key)
	})
	t.Run("nobody there", func(t *testing.T) {
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

func TestClientReturnsRejections(t *testing.T) {
	is := is.New(t)
	entry, client := startEntry(t, raw(400, `{"error":"no-route","message":"%.0s"}`))
	_, err := client.Submit(context.Background(), previews, caller.RetryPolicy{})
	var requestErr *caller.RequestError
	is.True(errors.As(err, &requestErr))
	is.Equal(requestErr.Fault, caller.FaultNoRoute)
	is.Equal(len(entry.jobs), 1)
}

// A client must turn from an entry that is down, and from one that takes jobs
// and says nothing, whichever of two it begins with.
func TestClientTurnsToNextEntry(t *testing.T) {
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
	// An attempt that a slow machine cuts short is made again.
	const attemptTimeout = 200 * time.Millisecond
	for _, servers := range [][]*httptest.Server{{up, down}, {down, up}, {up, silent}, {silent, up}} {
		is := is.New(t)
		got, err := newClient(t, attemptTimeout, servers...).Submit(context.Background(), previews, caller.RetryPolicy{})
		is.NoErr(err)
		is.Equal(got.Status, caller.Complete)
	}
}

// Keys come three at a time, and are used within half of their time unless
// their issuer is out of reach.
func TestClientHoldsKeys(t *testing.T) {
	withNextKey := func(w http.ResponseWriter, job receivedJob) {
		w.Header().Set(caller.NextKeyHeader, newKeys(t, "127.0.0.1:7000", 1).Issue(keysStart).String())
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
		{"issuer gone", "1h", []reply{answer(caller.Unknown, caller.ReasonOwnerGone), complete}, 3}, // 1 + 3 + 1 jobs
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

// A job that is asked for again has less time left than it had at first.
func TestClientSendsTimeLeft(t *testing.T) {
	is := is.New(t)
	entry, client := startEntry(t, lose, complete)
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

// An owner runs jobs by a SubmissionTable, as an entry instance does.
type owner struct {
	mu   sync.Mutex
	keys *caller.KeyIssuer
	book *caller.SubmissionTable[chan caller.Answer]
	runs int
}

func (o *owner) IssueKeys(n int) ([]caller.Key, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := make([]caller.Key, n)
	for i := range keys {
		keys[i] = o.keys.Issue(keysStart)
	}
	return keys, nil
}

func (o *owner) Cancel(context.Context, caller.Key) error { return nil }

func (o *owner) Submit(_ context.Context, job caller.Job) (caller.Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := make(chan caller.Answer, 1)
	decision, answer := o.book.Submit(keysStart, job, w)
	if decision != caller.Accept {
		return answer, nil
	}
	o.runs++
	answer = caller.Answer{Key: job.Key, Status: caller.Complete, Results: job.Tasks}
	o.book.Finish(keysStart, job.Key, answer)
	return answer, nil
}

// Answers that are lost must not make a job run again, and keys come in
// batches and with answers.
func TestClientAndBookRunEachJobOnce(t *testing.T) {
	is := is.New(t)
	book, err := caller.NewSubmissionTable[chan caller.Answer](caller.SubmissionTableConfig{
		Start: keysStart, UseWithin: time.Hour, KeepFor: time.Hour, MaxRecords: 1000, MaxAnswerBytes: 1 << 20,
	})
	is.NoErr(err)
	o := &owner{keys: newKeys(t, "127.0.0.1:7000", 1), book: book}
	handler := newHandler(o)
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
	is.Equal(o.runs, jobs)
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
	key := newKeys(t, "127.0.0.1:7000", 1).Issue(keysStart)
	is.NoErr(newClient(t, 0, server).Cancel(context.Background(), key))
	is.Equal(cancelled, key)
}
