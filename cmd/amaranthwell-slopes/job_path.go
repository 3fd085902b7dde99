package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// The roles of the instances on a job path.
const (
	relay = iota
	owner
	holder
	roleCount
)

// The kinds of envelope on a job path, by sender and receiver.
const (
	relayToOwner = iota
	ownerToHolder
	holderToOwner
	ownerToRelay
	messageCount
)

var roleNames = [roleCount]string{"relay", "owner", "holder"}

// payloadBytes is the size of a task's payload and of its result.
const payloadBytes = 64

// maxEvents is the largest number of outcomes that a busy instance handles between two
// calls of Take. It equals maxEvents of cmd/amaranthwell.
const maxEvents = 512

// A jobPath runs jobs through three instances and measures their processor time or
// allocations. The instances are the relay, to which the caller submits, the owner of
// the submission keys, and the holder of all workers.
type jobPath struct {
	instances [roleCount]*entry.Instance
	now       time.Time
	// If measureTime is set, measure adds the processor time of each call to cpuTime.
	// If countAllocs is set, it adds the allocations of the call to allocs. At most
	// one of them is set, because counting allocations distorts the times of short
	// calls. Both arrays are indexed by role.
	measureTime, countAllocs bool
	cpuTime                  [roleCount]time.Duration
	allocs                   [roleCount]uint64
	// wireBytes and envelopes are the total size and the number of the envelopes of
	// each kind. codecTime is the processor time of marshalling and parsing all of
	// them.
	wireBytes [messageCount]int
	envelopes [messageCount]int
	codecTime time.Duration
	// answered is the number of jobs that were answered in the current call of run.
	answered int
}

// newJobPath returns a jobPath whose instances have exchanged heartbeats, with a
// pool of the given number of workers in the holder's availability zone.
func newJobPath(workers int) *jobPath {
	p := &jobPath{now: start}
	zones := func(n int) string { return zoneName(min(n, 1)) }
	tables := moveToZone(newTables(workers, fixedRoutes), "workers")
	for n := range roleCount {
		p.instances[n] = newInstance(n, zoneName(n), roleCount, zones)
	}
	p.instances[holder] = newInstance(holder, "workers", roleCount, zones)
	for n := range roleCount {
		p.instances[n].SetTables(p.now, tables, 1, nil)
	}
	for range 8 {
		p.exchangeHeartbeats()
	}
	return p
}

// exchangeHeartbeats advances the clock by one second, the default interval
// between heartbeats, and delivers the heartbeats that are due.
func (p *jobPath) exchangeHeartbeats() {
	p.now = p.now.Add(time.Second)
	for n := range roleCount {
		p.instances[n].Tick(p.now)
		for _, s := range p.instances[n].Take(p.now).Sends {
			p.instances[receiverRole(s)].Receive(p.now, instanceAddress(n), s.Envelope)
		}
	}
}

// receiverRole returns the role of the instance that s is addressed to.
func receiverRole(s entry.Send) int {
	for n := range roleCount {
		if instanceAddress(n) == s.To {
			return n
		}
	}
	panic("envelope to an unknown instance")
}

// measure calls f. It adds the processor time or the allocations of f to the total of
// role, if measureTime or countAllocs is set.
func (p *jobPath) measure(role int, f func()) {
	switch {
	case p.measureTime:
		begin := processTime()
		f()
		p.cpuTime[role] += processTime() - begin
	case p.countAllocs:
		before := allocCount()
		f()
		p.allocs[role] += allocCount() - before
	default:
		f()
	}
}

// run submits jobs of the given number of tasks each, runs them until they are
// answered, and returns the number of answers. The holder handles up to batch
// outcomes between two calls of Take.
func (p *jobPath) run(jobs, tasks, batch int) int {
	p.answered = 0
	payloads := make([][]byte, tasks)
	for n := range payloads {
		payloads[n] = make([]byte, payloadBytes)
	}
	submitted := make([]caller.Job, jobs)
	for n := range submitted {
		key, _ := p.instances[owner].IssueKey(p.now)
		submitted[n] = caller.Job{Key: key, Route: routeName(0), Tasks: payloads}
	}
	var sends []entry.Send
	p.measure(relay, func() {
		for n, j := range submitted {
			p.instances[relay].Submit(p.now, entry.CallerID(n+1), j)
		}
		sends = p.instances[relay].Take(p.now).Sends
	})
	sends = p.deliver(relay, owner, relayToOwner, sends)
	starts := p.deliverRuns(sends)
	for len(starts) > 0 {
		n := min(batch, len(starts))
		var effects entry.Effects
		p.measure(holder, func() {
			for _, s := range starts[:n] {
				p.instances[holder].TaskDone(p.now, s.Task, backend.Outcome{Kind: backend.Done, Body: s.Payload})
			}
			effects = p.instances[holder].Take(p.now)
		})
		starts = append(starts[n:], effects.Starts...)
		sends = p.deliver(holder, owner, holderToOwner, effects.Sends)
		p.deliver(owner, relay, ownerToRelay, sends)
		starts = append(starts, p.deliverRuns(sends)...)
	}
	p.exchangeHeartbeats()
	return p.answered
}

// deliverRuns delivers those of the owner's envelopes that are addressed to the holder,
// and returns the starts of tasks that the holder then decides.
func (p *jobPath) deliverRuns(sends []entry.Send) []entry.Start {
	var starts []entry.Start
	for _, s := range sends {
		if receiverRole(s) != holder {
			continue
		}
		env := p.transmit(ownerToHolder, s.Envelope)
		p.measure(holder, func() {
			p.instances[holder].Receive(p.now, instanceAddress(owner), env)
			effects := p.instances[holder].Take(p.now)
			starts = append(starts, effects.Starts...)
		})
	}
	return starts
}

// deliver delivers envelopes that the instance with the role sender has sent. It skips
// those that are not addressed to the instance with the role receiver, and returns the
// envelopes that the receiver then sends. message is the kind of the envelopes.
func (p *jobPath) deliver(sender, receiver, message int, sends []entry.Send) []entry.Send {
	var replies []entry.Send
	for _, s := range sends {
		if receiverRole(s) != receiver {
			continue
		}
		env := p.transmit(message, s.Envelope)
		p.measure(receiver, func() {
			p.instances[receiver].Receive(p.now, instanceAddress(sender), env)
			effects := p.instances[receiver].Take(p.now)
			replies = append(replies, effects.Sends...)
			p.answered += len(effects.Answers)
		})
	}
	return replies
}

// submit submits a job with n tasks under key to the key's owner, and returns the
// marshalled envelopes that the owner then sends.
func (p *jobPath) submit(key caller.Key, n int) [][]byte {
	payloads := make([][]byte, n)
	for at := range payloads {
		payloads[at] = make([]byte, payloadBytes)
	}
	p.instances[owner].Submit(p.now, 1, caller.Job{Key: key, Route: routeName(0), Tasks: payloads})
	var bodies [][]byte
	for _, s := range p.instances[owner].Take(p.now).Sends {
		body, err := proto.Marshal(s.Envelope)
		if err != nil {
			panic(err)
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// assign delivers the owner's marshalled envelopes to the holder, after removing the
// payloads of their tasks. The holder then starts the tasks.
func (p *jobPath) assign(bodies [][]byte) {
	for _, body := range bodies {
		env := &peer.Envelope{}
		if err := proto.Unmarshal(body, env); err != nil {
			panic(err)
		}
		for _, r := range env.Runs {
			for _, t := range r.Tasks {
				t.Payload = nil
			}
		}
		p.instances[holder].Receive(p.now, instanceAddress(owner), env)
	}
	p.instances[holder].Take(p.now)
}

// transmit marshals env and parses the bytes into a copy, which it returns. It adds to
// codecTime and to the totals of envelopes of the kind message.
func (p *jobPath) transmit(message int, env *peer.Envelope) *peer.Envelope {
	begin := processTime()
	body, err := proto.Marshal(env)
	if err != nil {
		panic(err)
	}
	received := &peer.Envelope{}
	if err := proto.Unmarshal(body, received); err != nil {
		panic(err)
	}
	p.codecTime += processTime() - begin
	p.wireBytes[message] += len(body)
	p.envelopes[message]++
	return received
}
