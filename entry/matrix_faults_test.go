package entry_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A fault disturbs the instances, backend servers, network or platform of a test case.
// It can be injected at any step of a scenario.
type fault struct {
	name string
	// apply injects the fault.
	apply func(c *matrixCase)
	// harmless is set if the answers to all callers of the job must have the
	// same statuses as without the fault.
	harmless bool
	// target is the instance whose process the fault kills, pauses or shuts
	// down, if there is one.
	target netip.AddrPort
	// shutsDown is set if the target shuts down gracefully. mustAffect is set
	// if the fault must affect at least one envelope or start.
	shutsDown, mustAffect bool
}

// Times of the faults.
const (
	// restartAfter is the time until a killed process is restarted.
	restartAfter = time.Second
	// suspectPause is longer than the 4 s of silence after which a peer is
	// suspect, and forgetPause longer than the 15 s after which it is gone.
	suspectPause = 5 * time.Second
	forgetPause  = 20 * time.Second
	// cutFor is how long an availability zone is cut off from the others.
	cutFor = 8 * time.Second
	// listLag is how long an outdated or wrong list stays in use.
	listLag = 10 * time.Second
	// overtakenDelay is longer than the time between heartbeats, so that a
	// later envelope arrives first.
	overtakenDelay = 2500 * time.Millisecond
	// lateStart is how long a slow backend server waits before it starts a
	// task.
	lateStart = 1500 * time.Millisecond
)

var matrixFaults = slices.Concat(processFaults(), messageFaults(), networkFaults(), listFaults(), serverFaults(), shutdownFaults())

// processFaults returns the crashes and pauses of the instances of each role.
func processFaults() []fault {
	var faults []fault
	for _, r := range []struct {
		name string
		addr netip.AddrPort
	}{{"owner", ownerRole}, {"holder", holderRole}, {"relay instance", relayRole}, {"next holder", joinerRole}} {
		faults = append(
			faults,
			fault{name: "kill of the " + r.name, target: r.addr, apply: func(c *matrixCase) { c.crash(r.addr, true) }},
			fault{name: "kill of the " + r.name + " without restart, still listed", target: r.addr, apply: func(c *matrixCase) { c.crash(r.addr, false) }},
			fault{name: "pause of the " + r.name + ", 5 s", target: r.addr, apply: func(c *matrixCase) { c.freeze(r.addr, suspectPause) }},
			fault{name: "pause of the " + r.name + ", 20 s", target: r.addr, apply: func(c *matrixCase) { c.freeze(r.addr, forgetPause) }},
		)
	}
	return faults
}

// crash kills the process at addr, and restarts it after restartAfter if restart is
// set.
func (c *matrixCase) crash(addr netip.AddrPort, restart bool) {
	c.kill(addr)
	incarnation := c.nodes[addr].incarnation
	if restart {
		c.after(restartAfter, func() {
			if c.nodes[addr].incarnation == incarnation {
				c.boot(addr)
			}
		})
	}
}

// freeze pauses the process at addr for d.
func (c *matrixCase) freeze(addr netip.AddrPort, d time.Duration) {
	n := c.nodes[addr]
	incarnation := n.incarnation
	c.pause(addr)
	c.after(d, func() {
		if n.incarnation == incarnation {
			c.resume(addr)
		}
	})
}

// messageKinds lists the kinds of content of an envelope. A heartbeat has none of the
// other contents.
var messageKinds = []struct {
	name    string
	matches func(e *peer.Envelope) bool
	// resent is set if lost content of this kind is sent again.
	resent bool
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

// messageFaults returns the faults in which the next envelope with a kind of content is
// lost, duplicated, or so delayed that a later one overtakes it.
func messageFaults() []fault {
	var faults []fault
	for _, k := range messageKinds {
		for _, f := range []struct {
			name     string
			fault    envelopeFault
			harmless bool
		}{
			{"lost ", envelopeFault{lost: true}, k.resent},
			{"duplicated ", envelopeFault{duplicated: true}, true},
			{"overtaken ", envelopeFault{delay: overtakenDelay}, k.resent},
		} {
			faults = append(faults, fault{
				name:       f.name + k.name,
				harmless:   f.harmless,
				mustAffect: true,
				apply:      func(c *matrixCase) { c.affectNext(k.matches, f.fault) },
			})
		}
	}
	return faults
}

// affectNext applies f to the next envelope for which matches returns true. Faults that
// were set before apply to the other envelopes.
func (c *matrixCase) affectNext(matches func(*peer.Envelope) bool, f envelopeFault) {
	applied := false
	before := c.envelopeFault
	c.envelopeFault = func(from netip.AddrPort, s entry.Send) envelopeFault {
		if !applied && matches(s.Envelope) {
			applied = true
			c.affected++
			return f
		}
		if before != nil {
			return before(from, s)
		}
		return envelopeFault{}
	}
}
