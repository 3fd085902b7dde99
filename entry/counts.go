package entry

import "github.com/amaranthwell/amaranthwell/caller"

// Counts holds the event counters of an Instance since its creation.
type Counts struct {
	// Submitted counts the jobs received from callers of this instance. Of the
	// submissions whose keys this instance owns, Accepted counts those that it
	// accepted, Overloaded those that it refused because of load, and Cancelled
	// those that callers cancelled before they ended.
	Submitted, Accepted, Overloaded, Cancelled uint64
	// Complete, Failed, NotRun and Unknown count the answers to callers.
	Complete, Failed, NotRun, Unknown uint64
	// Starts counts the decisions to start a task, NotStarted the starts that
	// are proved not to have taken place, and Returned the tasks that came
	// back to this instance, their owner, without having started.
	Starts, NotStarted, Returned uint64
	// EnvelopesSent counts the envelopes to peers, EnvelopesWasted those
	// that carried no submission, answer, run or result, and EnvelopesStale
	// the envelopes from peers that were ignored as duplicates, because a
	// later one had arrived before or because their session has ended.
	EnvelopesSent, EnvelopesWasted, EnvelopesStale uint64
}

// countAnswer counts an answer of status s to a caller.
func (c *Counts) countAnswer(s caller.Status) {
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

// Counts returns the event counters of the instance.
func (i *Instance) Counts() Counts { return i.counts }

// Gauges holds the current sizes of an Instance's state.
type Gauges struct {
	// Jobs counts the open jobs that the instance owns, Relays the submissions
	// that it has passed on to other owners and that wait for an answer,
	// Waiting the owned tasks that are not assigned to a holder, Held the jobs
	// of which it keeps a record as a holder, and Records the submission keys
	// of which it keeps a record as the owner.
	Jobs, Relays, Waiting, Held, Records int
	// Peers counts the live peers, and Servers the backend servers that the
	// instance holds.
	Peers, Servers int
}

// Gauges returns the current sizes of the instance's state.
func (i *Instance) Gauges() Gauges {
	g := Gauges{
		Jobs:    len(i.jobs),
		Relays:  len(i.relays),
		Waiting: i.waitingTasks(),
		Held:    len(i.held),
		Records: i.submissions.Records(),
	}
	g.Peers = i.livePeers()
	for _, p := range i.pools {
		g.Servers += len(p.held)
	}
	return g
}

// livePeers returns the number of peers to which tasks may be assigned.
func (i *Instance) livePeers() int {
	live := 0
	for _, addr := range i.members.Addresses() {
		if i.members.Live(addr) {
			live++
		}
	}
	return live
}
