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

// A submission is the body of a request that submits a job under a key.
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

// An answerLog records every answer to each submission by its key.
type answerLog struct {
	mu          sync.Mutex
	submissions map[string]submission
	answers     map[string][]answer
}

// add records an answer.
func (l *answerLog) add(s submission, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.submissions == nil {
		l.submissions, l.answers = map[string]submission{}, map[string][]answer{}
	}
	l.submissions[s.Key] = s
	l.answers[s.Key] = append(l.answers[s.Key], a)
}

// newSubmissions returns count submissions under keys that an entry instance issues.
// No two tasks have the same payload.
func (n *network) newSubmissions(entry, count, tasks int, runTime time.Duration) []submission {
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

// submit submits s through an entry instance and records the answer. It returns
// false if there is none.
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
	n.answerLog.add(s, a)
	return a, true
}

// submitUntil submits all concurrently, each through the entry instances in turn
// until an answer satisfies done or testTimeout is over. It returns the last answers.
func (n *network) submitUntil(all []submission, entries []int, done func(answer) bool) []answer {
	answers := make([]answer, len(all))
	deadline := time.Now().Add(testTimeout)
	var group sync.WaitGroup
	for i, s := range all {
		group.Go(func() {
			for attempt := i; time.Now().Before(deadline); attempt++ {
				a, ok := n.submit(s, entries[attempt%len(entries)])
				if ok {
					answers[i] = a
				}
				if ok && done(a) {
					return
				}
				time.Sleep(pollInterval)
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

// anyAnswer accepts every answer. outcomeKnown accepts every answer except that the
// owner of the key is unreachable, which leaves the outcome unknown.
func anyAnswer(answer) bool      { return true }
func outcomeKnown(a answer) bool { return a.Reason != caller.ReasonOwnerUnreachable }

// starts holds the start counts that a worker reports.
type starts struct {
	Started  int              `json:"started"`
	Finished int              `json:"finished"`
	ByKey    map[string][]int `json:"by-key"`
}

// workerStarts returns the sums of the start counts of the workers.
func (n *network) workerStarts(workers ...string) starts {
	sum := starts{ByKey: map[string][]int{}}
	for _, w := range workers {
		var s starts
		n.is.True(n.get(w+"/v1/starts?keys=1", &s)) // the worker reports its starts
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

// checkAnswers waits until no task runs, and checks that no task started twice and
// that all answers agree with the starts and with each other.
func (n *network) checkAnswers() {
	var counted starts
	n.await("the end of all tasks", func() bool {
		counted = n.workerStarts(n.workers...)
		return counted.Started == counted.Finished
	})
	for key, counts := range counted.ByKey {
		if slices.Max(counts) > 1 {
			n.t.Errorf("a task started twice under %s: %v", key, counts)
		}
	}
	outcomes := map[string]int{}
	for key, answers := range n.answerLog.answers {
		var final caller.Status
		for _, a := range answers {
			outcomes[fmt.Sprint(a.Status, " ", a.Reason)]++
			n.checkAnswer(n.answerLog.submissions[key], a, counted.ByKey[key])
			if a.Status == caller.Unknown {
				continue
			}
			if final != "" && a.Status != final {
				n.t.Errorf("%s was answered %s and later %s", key, final, a.Status)
			}
			final = a.Status
		}
	}
	n.t.Logf("%d keys, answers %v, %d starts", len(n.answerLog.submissions), outcomes, counted.Started)
}

// checkAnswer checks one answer against the starts of its job's tasks.
func (n *network) checkAnswer(s submission, a answer, counts []int) {
	if a.Key != s.Key {
		n.t.Errorf("%s got the answer of %s", s.Key, a.Key)
	}
	if a.Status == caller.NotRun && len(counts) > 0 {
		n.t.Errorf("%s was answered not-run (%s) although it ran", s.Key, a.Reason)
	}
	if a.Status != caller.Complete {
		if len(a.Results) > 0 {
			n.t.Errorf("%s was answered %s with results", s.Key, a.Status)
		}
		return
	}
	resultsMatch := slices.EqualFunc(a.Results, s.Tasks, func(result, task []byte) bool {
		return string(result) == "done:"+string(task)
	})
	if !resultsMatch || len(counts) != len(s.Tasks) || slices.Min(counts) != 1 {
		n.t.Errorf("incomplete answer to %s: %d results of %d tasks, starts %v", s.Key, len(a.Results), len(s.Tasks), counts)
	}
}
