package entry_test

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A scenario is what happens in a cell but for the faults.
type scenario struct {
	name string
	play func(c *cell)
	// ends holds the ends of the job that are right without a harmful fault.
	ends  []caller.Status
	steps []step
	// leaver is the instance that shuts down in the scenario, if one does.
	leaver netip.AddrPort
	// joins says that the next holder joins, and else it is up from the start.
	joins bool
}

var matrixScenarios = []scenario{
	{
		name: "job", play: playJob, ends: []caller.Status{caller.Complete},
		steps: []step{
			{"key issued", pointAt(pointKeyIssued, ownerRole)},
			{"job submitted at the relay", pointAt(pointSubmitted, relayRole)},
			{"accepted by the owner", carries(pointReceived, ownerRole, hasSubmit)},
			{"run sent to the holder", carries(pointSent, ownerRole, hasRunToHolder)},
			{"queued at the holder", carries(pointReceived, holderRole, hasRun)},
			{"started at the server", pointAt(pointStarted, holderRole)},
			{"result at the holder", pointAt(pointDone, holderRole)},
			{"result at the owner", carries(pointReceived, ownerRole, hasResult)},
			{"answer sent by the owner", carries(pointSent, ownerRole, hasAnswer)},
			{"answer at the relay", pointAt(pointAnswered, relayRole)},
		},
	},
	{
		name: "cancel", play: playCancel, ends: []caller.Status{caller.Failed},
		steps: []step{
			{"cancel asked at the relay", pointAt(pointCancelAsked, relayRole)},
			{"cancel at the owner", carries(pointReceived, ownerRole, hasCancel(false))},
			{"end sent to the holder", carries(pointSent, ownerRole, hasCancel(true))},
			{"end at the holder", carries(pointReceived, holderRole, hasCancel(true))},
		},
	},
	{
		name: "cancel of a waiting job", play: playCancelWaiting, ends: []caller.Status{caller.NotRun},
		steps: []step{
			{"cancel asked at the relay", pointAt(pointCancelAsked, relayRole)},
			{"cancel at the owner", carries(pointReceived, ownerRole, hasCancel(false))},
			{"answer at the relay", pointAt(pointAnswered, relayRole)},
		},
	},
	{
		name: "hand-over", play: playHandOver, ends: []caller.Status{caller.Complete}, joins: true,
		steps: []step{
			{"next holder joins", pointAt(pointJoined, joinerRole)},
			{"next holder heard by the former", carries(pointReceived, holderRole, fromJoiner)},
			{"server let go by the former", carries(pointSent, holderRole, hasReleased)},
			{"server taken by the next", carries(pointReceived, joinerRole, hasReleased)},
			{"first start by the next", pointAt(pointStarted, joinerRole)},
		},
	},
	{
		name: "shutdown of the owner", play: playLeave(ownerRole), leaver: ownerRole,
		ends: []caller.Status{caller.Complete}, // Jobs that follow may find the fleet full.
		steps: []step{
			{"shutdown asked", pointAt(pointLeaveAsked, ownerRole)},
			{"servers let go", carries(pointSent, ownerRole, hasReleased)},
			{"answer sent", carries(pointSent, ownerRole, hasAnswer)},
			{"end of the process", pointAt(pointDrained, ownerRole)},
		},
	},
	{
		name: "shutdown of the holder", play: playLeave(holderRole), leaver: holderRole,
		ends: []caller.Status{caller.Complete}, // Jobs that follow may find the fleet full.
		steps: []step{
			{"shutdown asked", pointAt(pointLeaveAsked, holderRole)},
			{"servers let go", carries(pointSent, holderRole, hasReleased)},
			{"waiting tasks given back", carries(pointSent, holderRole, hasReturn)},
			{"result sent", carries(pointSent, holderRole, hasResult)},
			{"end of the process", pointAt(pointDrained, holderRole)},
		},
	},
	{
		name: "shutdown of the relay", play: playLeave(relayRole), leaver: relayRole,
		ends: []caller.Status{caller.Complete}, // Jobs that follow may find the fleet full.
		steps: []step{
			{"shutdown asked", pointAt(pointLeaveAsked, relayRole)},
			{"answer at the caller", pointAt(pointAnswered, relayRole)},
			{"end of the process", pointAt(pointDrained, relayRole)},
		},
	},
}

func playJob(c *cell) {
	c.run(settle)
	c.arm()
	c.send("previews", shortTimeout, cellTasks)
}

func playCancel(c *cell) {
	c.runTime = func(entry.Start) time.Duration { return 400 * time.Millisecond }
	playJob(c)
	c.run(150 * time.Millisecond)
	c.cancel()
}

// cancel asks the relay to cancel the job.
func (c *cell) cancel() {
	c.tell(point{kind: pointCancelAsked, at: relayRole})
	c.give(c.nodes[relayRole], func(now time.Time, i *entry.Instance) { i.Cancel(now, c.job.Key) })
}

// playCancelWaiting fills all slots and queues first, so that the job waits at
// its owner.
func playCancelWaiting(c *cell) {
	c.runTime = func(entry.Start) time.Duration { return time.Second }
	c.run(settle)
	c.submit(ownerRole, caller.Job{Route: "previews", Tasks: payloads(2 * cellTasks)})
	c.run(100 * time.Millisecond)
	c.arm()
	c.send("previews", shortTimeout, cellTasks)
	c.run(100 * time.Millisecond)
	c.cancel()
}

func playHandOver(c *cell) {
	c.kill(joinerRole)
	c.runTime = func(entry.Start) time.Duration { return 300 * time.Millisecond }
	c.run(2 * settle)
	c.send("thumbnails", longTimeout, 3*cellTasks)
	c.run(100 * time.Millisecond)
	c.arm()
	c.boot(joinerRole)
	c.tell(point{kind: pointJoined, at: joinerRole})
}

// playLeave returns a scenario in which the instance at addr shuts down while
// the job runs. The platform's list says so a second later.
func playLeave(addr netip.AddrPort) func(c *cell) {
	return func(c *cell) {
		c.runTime = func(entry.Start) time.Duration { return 1200 * time.Millisecond }
		c.run(settle)
		c.warm()
		c.send("thumbnails", longTimeout, cellTasks)
		// By then heartbeats have told the owner that tasks may wait at the holders.
		c.run(1100 * time.Millisecond)
		c.arm()
		c.leave(addr)
		c.tell(point{kind: pointLeaveAsked, at: addr})
	}
}

// warm runs a job first, so that the holders know their servers and fill them.
func (c *cell) warm() {
	c.submit(ownerRole, caller.Job{Route: "previews", Tasks: payloads(2 * cellTasks)})
	c.run(10 * time.Second)
}

// leave shuts the instance at addr down.
func (c *cell) leave(addr netip.AddrPort) {
	n := c.nodes[addr]
	if !n.up || n.instance.Leaving() {
		return
	}
	c.drain(addr)
	c.after(time.Second, func() { c.changeList(addr, peer.EntryInstance, true) })
}
