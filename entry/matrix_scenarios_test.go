package entry_test

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A scenario is the sequence of events of a test case without its faults.
type scenario struct {
	name string
	run  func(c *matrixCase)
	// ends holds the statuses with which the job may end if all injected
	// faults are harmless.
	ends []caller.Status
	// steps holds the events of the scenario at which faults are injected.
	steps []step
	// leaver is the instance that shuts down in the scenario, if one does.
	leaver netip.AddrPort
	// joins is set if the joiner starts during the scenario. Otherwise it is up
	// from the start.
	joins bool
}

var matrixScenarios = []scenario{
	{
		name: "job", run: runJob, ends: []caller.Status{caller.Complete},
		steps: []step{
			{"key issued", eventAt(eventKeyIssued, ownerRole)},
			{"job submitted at the relay", eventAt(eventSubmitted, relayRole)},
			{"accepted by the owner", carries(eventReceived, ownerRole, hasSubmit)},
			{"run sent to the holder", carries(eventSent, ownerRole, hasRunToHolder)},
			{"queued at the holder", carries(eventReceived, holderRole, hasRun)},
			{"started at the server", eventAt(eventStarted, holderRole)},
			{"result at the holder", eventAt(eventDone, holderRole)},
			{"result at the owner", carries(eventReceived, ownerRole, hasResult)},
			{"answer sent by the owner", carries(eventSent, ownerRole, hasAnswer)},
			{"answer at the relay", eventAt(eventAnswered, relayRole)},
		},
	},
	{
		name: "cancel", run: runCancel, ends: []caller.Status{caller.Failed},
		steps: []step{
			{"cancel requested at the relay", eventAt(eventCancelRequested, relayRole)},
			{"cancel at the owner", carries(eventReceived, ownerRole, hasCancel(false))},
			{"end sent to the holder", carries(eventSent, ownerRole, hasCancel(true))},
			{"end at the holder", carries(eventReceived, holderRole, hasCancel(true))},
		},
	},
	{
		name: "cancel of a waiting job", run: runCancelWaiting, ends: []caller.Status{caller.NotRun},
		steps: []step{
			{"cancel requested at the relay", eventAt(eventCancelRequested, relayRole)},
			{"cancel at the owner", carries(eventReceived, ownerRole, hasCancel(false))},
			{"answer at the relay", eventAt(eventAnswered, relayRole)},
		},
	},
	{
		name: "hand-over", run: runHolderChange, ends: []caller.Status{caller.Complete}, joins: true,
		steps: []step{
			{"next holder joins", eventAt(eventJoined, joinerRole)},
			{"first envelope of the next holder at the former", carries(eventReceived, holderRole, fromJoiner)},
			{"server released by the former holder", carries(eventSent, holderRole, hasReleased)},
			{"release received by the next holder", carries(eventReceived, joinerRole, hasReleased)},
			{"first start by the next holder", eventAt(eventStarted, joinerRole)},
		},
	},
	{
		name: "shutdown of the owner", run: runShutdown(ownerRole), leaver: ownerRole,
		ends: []caller.Status{caller.Complete}, // Later jobs may be refused because of load.
		steps: []step{
			{"shutdown requested", eventAt(eventShutdownRequested, ownerRole)},
			{"servers released", carries(eventSent, ownerRole, hasReleased)},
			{"answer sent", carries(eventSent, ownerRole, hasAnswer)},
			{"end of the process", eventAt(eventDrained, ownerRole)},
		},
	},
	{
		name: "shutdown of the holder", run: runShutdown(holderRole), leaver: holderRole,
		ends: []caller.Status{caller.Complete}, // Later jobs may be refused because of load.
		steps: []step{
			{"shutdown requested", eventAt(eventShutdownRequested, holderRole)},
			{"servers released", carries(eventSent, holderRole, hasReleased)},
			{"waiting tasks returned", carries(eventSent, holderRole, hasReturnedTask)},
			{"result sent", carries(eventSent, holderRole, hasResult)},
			{"end of the process", eventAt(eventDrained, holderRole)},
		},
	},
	{
		name: "shutdown of the relay", run: runShutdown(relayRole), leaver: relayRole,
		ends: []caller.Status{caller.Complete}, // Later jobs may be refused because of load.
		steps: []step{
			{"shutdown requested", eventAt(eventShutdownRequested, relayRole)},
			{"answer at the caller", eventAt(eventAnswered, relayRole)},
			{"end of the process", eventAt(eventDrained, relayRole)},
		},
	},
}

// runJob arms the test case and submits the job.
func runJob(c *matrixCase) {
	c.run(settleTime)
	c.arm()
	c.submitJob("previews", shortTimeout, caseTasks)
}

// runCancel cancels the job while its tasks run.
func runCancel(c *matrixCase) {
	c.runTime = func(entry.Start) time.Duration { return 400 * time.Millisecond }
	runJob(c)
	c.run(150 * time.Millisecond)
	c.cancel()
}

// cancel requests the cancellation of the job at the relay.
func (c *matrixCase) cancel() {
	c.notify(event{kind: eventCancelRequested, at: relayRole})
	c.deliver(c.nodes[relayRole], func(now time.Time, i *entry.Instance) { i.Cancel(now, c.job.Key) })
}

// runCancelWaiting cancels the job while it waits at its owner, since all slots and
// queues are full.
func runCancelWaiting(c *matrixCase) {
	c.runTime = func(entry.Start) time.Duration { return time.Second }
	c.run(settleTime)
	c.submit(ownerRole, caller.Job{Route: "previews", Tasks: payloads(2 * caseTasks)})
	c.run(100 * time.Millisecond)
	c.arm()
	c.submitJob("previews", shortTimeout, caseTasks)
	c.run(100 * time.Millisecond)
	c.cancel()
}

// runHolderChange starts the joiner, which becomes the next holder of some backend
// servers, while the job runs.
func runHolderChange(c *matrixCase) {
	c.kill(joinerRole)
	c.runTime = func(entry.Start) time.Duration { return 300 * time.Millisecond }
	c.run(2 * settleTime)
	c.submitJob("thumbnails", longTimeout, 3*caseTasks)
	c.run(100 * time.Millisecond)
	c.arm()
	c.boot(joinerRole)
	c.notify(event{kind: eventJoined, at: joinerRole})
}

// runShutdown returns a scenario in which the instance at addr shuts down while the
// job runs. The platform's list reports it as leaving a second later.
func runShutdown(addr netip.AddrPort) func(c *matrixCase) {
	return func(c *matrixCase) {
		c.runTime = func(entry.Start) time.Duration { return 1200 * time.Millisecond }
		c.run(settleTime)
		c.warmUp()
		c.submitJob("thumbnails", longTimeout, caseTasks)
		// By then the owner knows from heartbeats that tasks may wait at the holders.
		c.run(1100 * time.Millisecond)
		c.arm()
		c.shutDown(addr)
		c.notify(event{kind: eventShutdownRequested, at: addr})
	}
}

// warmUp runs a job first, so that the holders have measured their servers and use
// all slots.
func (c *matrixCase) warmUp() {
	c.submit(ownerRole, caller.Job{Route: "previews", Tasks: payloads(2 * caseTasks)})
	c.run(10 * time.Second)
}

// shutDown begins a graceful shutdown of the instance at addr.
func (c *matrixCase) shutDown(addr netip.AddrPort) {
	n := c.nodes[addr]
	if !n.up || n.instance.Leaving() {
		return
	}
	c.drain(addr)
	c.after(time.Second, func() { c.changeList(addr, peer.EntryInstance, true) })
}
