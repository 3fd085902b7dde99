package demo_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
)

// A submission is a job under a key, as its caller knows it.
type submission struct {
	Key     string   `json:"key"`
	Route   string   `json:"route"`
	Timeout string   `json:"timeout"`
	Tasks   [][]byte `json:"tasks"`
}

// An answer is the body of a response to a submission.
type answer struct {
	Key     string        `json:"key"`
	Status  caller.Status `json:"status"`
	Reason  caller.Reason `json:"reason"`
	Results [][]byte      `json:"results"`
}

// A book holds every answer to each submission.
type book struct {
	mu      sync.Mutex
	jobs    map[string]submission
	answers map[string][]answer
}

// add records an answer.
func (b *book) add(s submission, a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs == nil {
		b.jobs, b.answers = map[string]submission{}, map[string][]answer{}
	}
	b.jobs[s.Key] = s
	b.answers[s.Key] = append(b.answers[s.Key], a)
}

// jobs returns count submissions under keys of an entry instance. No two tasks
// have the same payload.
func (n *network) jobs(entry, count, tasks int, runTime time.Duration) []submission {
	var issued struct {
		Keys []string `json:"keys"`
	}
	n.await("keys", func() bool {
		response, err := client.Post(fmt.Sprintf("%s/v1/keys?count=%d", n.url(entry, 8080), count), "", nil)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&issued) == nil
	})
	all := make([]submission, count)
	for i, key := range issued.Keys {
		all[i] = submission{Key: key, Route: "previews", Timeout: n.timeout.String()}
		for task := range tasks {
			all[i].Tasks = append(all[i].Tasks, fmt.Appendf(nil, "run-time=%v\n%s/%d", runTime, key, task))
		}
	}
	return all
}

// submit submits s through an entry instance and records the answer. It reports
// false if none came.
func (n *network) submit(s submission, entry int) (answer, bool) {
	body, err := json.Marshal(s)
	if err != nil {
		return answer{}, false
	}
	response, err := client.Post(n.url(entry, 8080)+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return answer{}, false
	}
	defer response.Body.Close()
	var a answer
	if json.NewDecoder(response.Body).Decode(&a) != nil || a.Status == "" {
		return answer{}, false
	}
	n.book.add(s, a)
	return a, true
}

// settle submits all at once through the entry instances in turn, each again
// until an answer satisfies done or the patience is at its end. It returns the
// last answers.
func (n *network) settle(all []submission, entries []int, done func(answer) bool) []answer {
	answers := make([]answer, len(all))
	deadline := time.Now().Add(patience)
	var group sync.WaitGroup
	for i, s := range all {
		group.Go(func() {
			for turn := i; time.Now().Before(deadline); turn++ {
				a, ok := n.submit(s, entries[turn%len(entries)])
				if ok {
					answers[i] = a
				}
				if ok && done(a) {
					return
				}
				time.Sleep(pollPause)
			}
		})
	}
	group.Wait()
	for i, a := range answers {
		if a.Status == "" {
			n.t.Errorf("%s got no answer", all[i].Key)
		}
	}
	return answers
}

// answered accepts any answer, and known one that says what became of the job.
func answered(answer) bool { return true }
func known(a answer) bool  { return a.Reason != caller.ReasonOwnerUnreachable }

// starts is what a judge saw.
type starts struct {
	Started  int              `json:"started"`
	Finished int              `json:"finished"`
	ByKey    map[string][]int `json:"by-key"`
}

// judge returns what the judges of all workers saw together.
func (n *network) judge(workers ...string) starts {
	sum := starts{ByKey: map[string][]int{}}
	for _, w := range workers {
		var s starts
		n.is.True(n.get(w+"/v1/starts?keys=1", &s)) // the judge answers
		sum.Started += s.Started
		sum.Finished += s.Finished
		for key, counts := range s.ByKey {
			total := sum.ByKey[key]
			total = append(total, make([]int, max(0, len(counts)-len(total)))...)
			for i, c := range counts {
				total[i] += c
			}
			sum.ByKey[key] = total
		}
	}
	return sum
}

// check judges all answers by what started.
func (n *network) check() {
	var seen starts
	n.await("the end of all tasks", func() bool {
		seen = n.judge(n.workers...)
		return seen.Started == seen.Finished
	})
	for key, counts := range seen.ByKey {
		if slices.Max(counts) > 1 {
			n.t.Errorf("a task started twice under %s: %v", key, counts)
		}
	}
	outcomes := map[string]int{}
	for key, answers := range n.book.answers {
		var final caller.Status
		for _, a := range answers {
			outcomes[fmt.Sprint(a.Status, " ", a.Reason)]++
			n.checkAnswer(n.book.jobs[key], a, seen.ByKey[key])
			if a.Status == caller.Unknown {
				continue
			}
			if final != "" && a.Status != final {
				n.t.Errorf("%s was answered %s, and later %s", key, final, a.Status)
			}
			final = a.Status
		}
	}
	n.t.Logf("%d keys, answers %v, %d starts", len(n.book.jobs), outcomes, seen.Started)
}

// checkAnswer judges one answer by the starts of its job's tasks.
func (n *network) checkAnswer(s submission, a answer, counts []int) {
	if a.Key != s.Key {
		n.t.Errorf("%s got the answer of %s", s.Key, a.Key)
	}
	if a.Status == caller.NotRun && len(counts) > 0 {
		n.t.Errorf("%s was answered not-run (%s) and ran", s.Key, a.Reason)
	}
	if a.Status != caller.Complete {
		if len(a.Results) > 0 {
			n.t.Errorf("%s was answered %s with results", s.Key, a.Status)
		}
		return
	}
	whole := slices.EqualFunc(a.Results, s.Tasks, func(result, task []byte) bool {
		return string(result) == "done:"+string(task)
	})
	if !whole || len(counts) != len(s.Tasks) || slices.Min(counts) != 1 {
		n.t.Errorf("the answer of %s is not whole: %d results of %d, starts %v", s.Key, len(a.Results), len(s.Tasks), counts)
	}
}
