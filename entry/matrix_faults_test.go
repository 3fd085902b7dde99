package entry_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A fault is something that goes wrong at a step.
type fault struct {
	name  string
	apply func(c *cell)
	// harmless says that the job's callers all get the whole answer.
	harmless bool
	// of is the instance that the fault strikes, if it is one process.
	of netip.AddrPort
	// leaves says that the instance shuts down, meets that the fault waits
	// for an envelope or a start.
	leaves, meets bool
}

// Times of the faults.
const (
	// restartAfter is when a killed process is back.
	restartAfter = time.Second
	// suspectPause and forgetPause are longer than the 4 s and 15 s after
	// which a peer is suspected and forgotten.
	suspectPause = 5 * time.Second
	forgetPause  = 20 * time.Second
	cutFor       = 8 * time.Second
	listLag      = 10 * time.Second
	// overtaken is longer than the time between heartbeats, so that a
	// later envelope comes first.
	overtaken = 2500 * time.Millisecond
	lateStart = 1500 * time.Millisecond
)

var matrixFaults = slices.Concat(processFaults(), messageFaults(), networkFaults(), listFaults(), serverFaults(), leaveFaults())

func processFaults() []fault {
	var faults []fault
	for _, r := range []struct {
		name string
		addr netip.AddrPort
	}{{"owner", ownerRole}, {"holder", holderRole}, {"caller-facing instance", relayRole}, {"next holder", joinerRole}} {
		faults = append(
			faults,
			fault{name: "kill of the " + r.name, of: r.addr, apply: func(c *cell) { c.crash(r.addr, true) }},
			fault{name: "death of the " + r.name + ", listed on", of: r.addr, apply: func(c *cell) { c.crash(r.addr, false) }},
			fault{name: "pause of the " + r.name + ", 5 s", of: r.addr, apply: func(c *cell) { c.freeze(r.addr, suspectPause) }},
			fault{name: "pause of the " + r.name + ", 20 s", of: r.addr, apply: func(c *cell) { c.freeze(r.addr, forgetPause) }},
		)
	}
	return faults
}

// crash kills the process at addr.
func (c *cell) crash(addr netip.AddrPort, restart bool) {
	c.kill(addr)
	life := c.nodes[addr].life
	if restart {
		c.after(restartAfter, func() {
			if c.nodes[addr].life == life {
				c.boot(addr)
			}
		})
	}
}

// freeze pauses the process at addr for d.
func (c *cell) freeze(addr netip.AddrPort, d time.Duration) {
	n := c.nodes[addr]
	life := n.life
	c.pause(addr)
	c.after(d, func() {
		if n.life == life {
			c.resume(addr)
		}
	})
}

// messageKinds holds the kinds of content of an envelope.
var messageKinds = []struct {
	name string
	in   func(e *peer.Envelope) bool
	// repeated says that what is lost is asked for again.
	repeated bool
}{
	{"submit", func(e *peer.Envelope) bool { return len(e.Submits) > 0 }, true},
	{"answer", func(e *peer.Envelope) bool { return len(e.Answers) > 0 }, true},
	{"run", func(e *peer.Envelope) bool { return len(e.Runs) > 0 }, true},
	{"result", func(e *peer.Envelope) bool { return len(e.Results) > 0 }, true},
	{"cancel", func(e *peer.Envelope) bool { return len(e.Cancels) > 0 }, false},
	{"released", func(e *peer.Envelope) bool { return len(e.Released) > 0 }, true},
	{"heartbeat", func(e *peer.Envelope) bool {
		return len(e.Submits)+len(e.Answers)+len(e.Runs)+len(e.Results)+len(e.Cancels)+len(e.Released) == 0
	}, true},
}

func messageFaults() []fault {
	var faults []fault
	for _, k := range messageKinds {
		for _, f := range []struct {
			name     string
			fate     fate
			harmless bool
		}{
			{"lost ", fate{lost: true}, k.repeated},
			{"duplicated ", fate{twice: true}, true},
			{"overtaken ", fate{late: overtaken}, k.repeated},
		} {
			faults = append(faults, fault{
				name:     f.name + k.name,
				harmless: f.harmless,
				meets:    true,
				apply:    func(c *cell) { c.meetNext(k.in, f.fate) },
			})
		}
	}
	return faults
}

// meetNext gives the next envelope with some content a fate.
func (c *cell) meetNext(in func(*peer.Envelope) bool, f fate) {
	met := false
	before := c.fate
	c.fate = func(from netip.AddrPort, s entry.Send) fate {
		if !met && in(s.Envelope) {
			met = true
			c.tampered++
			return f
		}
		if before != nil {
			return before(from, s)
		}
		return fate{}
	}
}
