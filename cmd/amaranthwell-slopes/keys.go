package main

import (
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
)

// A keyBook is a book and the keys that it is asked about.
type keyBook struct {
	book *caller.SubmissionTable[int]
	keys *caller.KeyIssuer
}

func newKeyBook() *keyBook {
	book, err := caller.NewSubmissionTable[int](caller.SubmissionTableConfig{
		Start: start, UseWithin: 30 * time.Second, KeepFor: 5 * time.Minute,
		MaxRecords: 1_000_000, MaxAnswerBytes: 16 << 20,
	})
	if err != nil {
		panic(err)
	}
	keys, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{Owner: instanceAddress(0), Incarnation: 1, Start: start})
	if err != nil {
		panic(err)
	}
	return &keyBook{book: book, keys: keys}
}

// submit accepts n new keys and ends each with status, or leaves it running.
func (b *keyBook) submit(n int, status caller.Status, reason caller.Reason) {
	for range n {
		key := b.keys.Issue(start)
		b.book.Submit(start, caller.Job{Key: key, Route: routeName(0)}, 1)
		if status != "" {
			b.book.Finish(start, key, caller.Answer{Key: key, Status: status, Reason: reason})
		}
	}
}

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
			memory.add(n, heapOf(func() *keyBook {
				b := newKeyBook()
				b.submit(n, k.status, k.reason)
				return b
			}))
			spent.add(n, nanosOf(func() { newKeyBook().submit(n, k.status, k.reason) }))
		}
		all = append(all, memory, spent)
	}
	return all
}
