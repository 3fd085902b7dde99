package main

import (
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
)

// submissions holds the submission table of an owner and the issuer of the owner's keys.
type submissions struct {
	table  *caller.SubmissionTable[int]
	issuer *caller.KeyIssuer
}

func newSubmissions() *submissions {
	table, err := caller.NewSubmissionTable[int](caller.SubmissionTableConfig{
		Start: start, UseWithin: 30 * time.Second, KeepFor: 5 * time.Minute,
		MaxRecords: 1_000_000, MaxAnswerBytes: 16 << 20,
	})
	if err != nil {
		panic(err)
	}
	issuer, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{Owner: instanceAddress(0), Incarnation: 1, Start: start})
	if err != nil {
		panic(err)
	}
	return &submissions{table: table, issuer: issuer}
}

// submit submits n jobs under new keys and finishes each job with status and reason. If
// status is empty, it does not finish them.
func (s *submissions) submit(n int, status caller.Status, reason caller.Reason) {
	for range n {
		key := s.issuer.Issue(start)
		s.table.Submit(start, caller.Job{Key: key, Route: routeName(0)}, 1)
		if status != "" {
			s.table.Finish(start, key, caller.Answer{Key: key, Status: status, Reason: reason})
		}
	}
}

// keysByNumber measures the memory and the time that a submission table takes by its
// number of keys, for each state of the keys.
func keysByNumber() []slope {
	kinds := []struct {
		name   string
		status caller.Status
		reason caller.Reason
	}{
		{name: "running"},
		{name: "ended", status: caller.Complete},
		{name: "refused", status: caller.NotRun, reason: caller.ReasonOverload},
	}
	var all []slope
	for _, k := range kinds {
		memory := slope{Name: "keys-memory-" + k.name, What: "heap of a caller.Book with keys that are " + k.name + ", without results", Unit: "bytes", By: "key"}
		spent := slope{Name: "keys-time-" + k.name, What: "caller.Keys.Issue, Book.Submit and Finish of keys that are " + k.name, Unit: "ns", By: "key"}
		for _, n := range []int{1000, 10_000, 50_000, 100_000} {
			memory.add(n, retainedBytes(func() *submissions {
				s := newSubmissions()
				s.submit(n, k.status, k.reason)
				return s
			}))
			spent.add(n, cpuNanos(func() { newSubmissions().submit(n, k.status, k.reason) }))
		}
		all = append(all, memory, spent)
	}
	return all
}
