package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// The instances of a path.
const (
	relay = iota
	owner
	holder
	roles
)

// The messages of a path.
const (
	relayToOwner = iota
	ownerToHolder
	holderToOwner
	ownerToRelay
	messages
)

var roleNames = [roles]string{"relay", "owner", "holder"}

// payloadBytes is the size of a task's payload and of its result.
const payloadBytes = 64

// maxEvents is the number of outcomes between two calls of Take under load, as
// in the daemon.
const maxEvents = 512

// A path is three instances through which jobs go: a relay that callers reach,
// the owner of the keys, and the holder of all workers.
type path struct {
	nodes [roles]*entry.Instance
	now   time.Time
	// timed says that processor times are read, and counted that allocations
	// are, which disturbs the times of short steps.
	timed, counted bool
	time           [roles]time.Duration
	allocs         [roles]uint64
	// wire holds the bytes and envelopes the number of each message, codec
	// the processor time of marshalling and parsing them.
	wire      [messages]int
	envelopes [messages]int
	codec     time.Duration
	answered  int
}

// newPath returns a path whose instances know each other.
func newPath(workers int) *path {
	p := &path{now: start}
	zones := func(n int) string { return zoneName(min(n, 1)) }
	tables := inZone(newTables(workers, tablesRoutes), "workers")
	for n := range roles {
		p.nodes[n] = newInstance(n, zoneName(n), roles, zones)
	}
	p.nodes[holder] = newInstance(holder, "workers", roles, zones)
	for n := range roles {
		p.nodes[n].SetTables(p.now, tables, 1, nil)
	}
	for range 8 {
		p.beat()
	}
	return p
}

// beat lets a heartbeat's time pass and carries the heartbeats.
func (p *path) beat() {
	p.now = p.now.Add(time.Second)
	for n := range roles {
		p.nodes[n].Tick(p.now)
		for _, s := range p.nodes[n].Take(p.now).Sends {
			p.nodes[roleAt(s)].Receive(p.now, instanceAddress(n), s.Envelope)
		}
	}
}

// roleAt returns the instance that an envelope goes to.
func roleAt(s entry.Send) int {
	for n := range roles {
		if instanceAddress(n) == s.To {
			return n
		}
	}
	panic("no such instance")
}

// meter adds to a role what f spends.
func (p *path) meter(role int, f func()) {
	switch {
	case p.timed:
		begin := used()
		f()
		p.time[role] += used() - begin
	case p.counted:
		before := mallocs()
		f()
		p.allocs[role] += mallocs() - before
	default:
		f()
	}
}

// run takes jobs of the given number of tasks from the caller to the answer,
// and returns the number of answers. Batch is the number of outcomes between
// two calls of the holder's Take.
func (p *path) run(jobs, tasks, batch int) int {
	p.answered = 0
	payloads := make([][]byte, tasks)
	for n := range payloads {
		payloads[n] = make([]byte, payloadBytes)
	}
	batchOfJobs := make([]caller.Job, jobs)
	for n := range batchOfJobs {
		key, _ := p.nodes[owner].IssueKey(p.now)
		batchOfJobs[n] = caller.Job{Key: key, Route: routeName(0), Tasks: payloads}
	}
	var sends []entry.Send
	p.meter(relay, func() {
		for n, j := range batchOfJobs {
			p.nodes[relay].Submit(p.now, entry.CallerID(n+1), j)
		}
		sends = p.nodes[relay].Take(p.now).Sends
	})
	sends = p.deliver(relay, owner, relayToOwner, sends)
	starts := p.startHeld(sends)
	for len(starts) > 0 {
		n := min(batch, len(starts))
		var effects entry.Effects
		p.meter(holder, func() {
			for _, s := range starts[:n] {
				p.nodes[holder].TaskDone(p.now, s.Task, backend.Outcome{Kind: backend.Done, Body: s.Payload})
			}
			effects = p.nodes[holder].Take(p.now)
		})
		starts = append(starts[n:], effects.Starts...)
		sends = p.deliver(holder, owner, holderToOwner, effects.Sends)
		p.deliver(owner, relay, ownerToRelay, sends)
		starts = append(starts, p.startHeld(sends)...)
	}
	p.beat()
	return p.answered
}

// startHeld hands the owner's runs to the holder and returns the starts.
func (p *path) startHeld(sends []entry.Send) []entry.Start {
	var starts []entry.Start
	for _, s := range sends {
		if roleAt(s) != holder {
			continue
		}
		env := p.copy(ownerToHolder, s.Envelope)
		p.meter(holder, func() {
			p.nodes[holder].Receive(p.now, instanceAddress(owner), env)
			effects := p.nodes[holder].Take(p.now)
			starts = append(starts, effects.Starts...)
		})
	}
	return starts
}

// deliver hands envelopes to an instance and returns what it sends.
func (p *path) deliver(from, to, message int, sends []entry.Send) []entry.Send {
	var replies []entry.Send
	for _, s := range sends {
		if roleAt(s) != to {
			continue
		}
		env := p.copy(message, s.Envelope)
		p.meter(to, func() {
			p.nodes[to].Receive(p.now, instanceAddress(from), env)
			effects := p.nodes[to].Take(p.now)
			replies = append(replies, effects.Sends...)
			p.answered += len(effects.Answers)
		})
	}
	return replies
}

// submit gives a job with n tasks to its owner and returns the envelopes to the
// holder in the wire's form.
func (p *path) submit(key caller.Key, n int) [][]byte {
	payloads := make([][]byte, n)
	for at := range payloads {
		payloads[at] = make([]byte, payloadBytes)
	}
	p.nodes[owner].Submit(p.now, 1, caller.Job{Key: key, Route: routeName(0), Tasks: payloads})
	var bodies [][]byte
	for _, s := range p.nodes[owner].Take(p.now).Sends {
		body, err := proto.Marshal(s.Envelope)
		if err != nil {
			panic(err)
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// hold hands envelopes of the owner to the holder, which starts their tasks.
func (p *path) hold(bodies [][]byte) {
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
		p.nodes[holder].Receive(p.now, instanceAddress(owner), env)
	}
	p.nodes[holder].Take(p.now)
}

// copy carries an envelope over the wire's form.
func (p *path) copy(message int, env *peer.Envelope) *peer.Envelope {
	begin := used()
	body, err := proto.Marshal(env)
	if err != nil {
		panic(err)
	}
	received := &peer.Envelope{}
	if err := proto.Unmarshal(body, received); err != nil {
		panic(err)
	}
	p.codec += used() - begin
	p.wire[message] += len(body)
	p.envelopes[message]++
	return received
}
