package entry

import "github.com/amaranthwell/amaranthwell/caller"

// Counts counts what an Instance has done since it began.
type Counts struct {
	// Submitted counts the jobs from callers, Accepted the submissions that
	// began, Overloaded those refused for the load, Cancelled those that
	// callers cancelled.
	Submitted, Accepted, Overloaded, Cancelled uint64
	// Complete, Failed, NotRun and Unknown count the answers to callers.
	Complete, Failed, NotRun, Unknown uint64
	// Starts counts the decisions to start a task, NotStarted those that a
	// backend server has proved not to have started, and Returned the tasks
	// that came back to their owner without having started.
	Starts, NotStarted, Returned uint64
	// EnvelopesSent counts the envelopes to peers, EnvelopesWasted those
	// that carried no task and no answer, and EnvelopesStale the envelopes
	// from peers that did not count.
	EnvelopesSent, EnvelopesWasted, EnvelopesStale uint64
}

func (c *Counts) answered(s caller.Status) {
	switch s {
	case caller.Complete:
		c.Complete++
	case caller.Failed:
		c.Failed++
	case caller.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// Counts returns what the instance has done since it began.
func (i *Instance) Counts() Counts { return i.counts }

// Gauges is the present size of an Instance's state.
type Gauges struct {
	// Jobs and Relays count the open jobs that the instance owns and passes
	// on, Waiting the owned tasks that no holder has, Held the jobs of which
	// it holds tasks, Records the submission keys that it remembers.
	Jobs, Relays, Waiting, Held, Records int
	// Peers counts the live peers, Servers the backend servers held.
	Peers, Servers int
}

// Gauges returns the present size of the instance's state.
func (i *Instance) Gauges() Gauges {
	g := Gauges{
		Jobs:    len(i.jobs),
		Relays:  len(i.relays),
		Waiting: i.waitingTasks(),
		Held:    len(i.held),
		Records: i.book.Records(),
	}
	g.Peers = i.livePeers()
	for _, p := range i.pools {
		g.Servers += len(p.mine)
	}
	return g
}

// livePeers returns the number of peers that may be given work.
func (i *Instance) livePeers() int {
	live := 0
	for _, addr := range i.members.Addresses() {
		if i.members.Live(addr) {
			live++
		}
	}
	return live
}
