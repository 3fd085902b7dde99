package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// receiveJobs handles the jobs and the withdrawals in an envelope. The sender of redirected
// jobs becomes a known member, if it is not one, and gets a heartbeat at once: its answer
// confirms the jobs.
func (i *Instance) receiveJobs(now time.Time, from netip.AddrPort, env *peer.Envelope) {
	for _, j := range env.Jobs {
		if j.Zone != "" {
			i.leadership.AddMember(now, from, env.Zone)
			break
		}
	}
	if !i.dispatcher.leading() {
		for _, j := range env.Jobs {
			if j.Zone != "" && j.Zone != env.Zone {
				i.reportEnd(now, from, End{ID: j.Id, State: Redirected, Reason: notLeader})
			}
		}
		return
	}
	for _, j := range env.Jobs {
		job := decodeJob(now, j)
		if env.ToSession != 0 && env.ToSession != i.dispatcher.session {
			job.awaitEarlierRuns(now)
		}
		i.dispatcher.addJob(now, from, job)
	}
	for _, id := range env.Withdrawn {
		i.dispatcher.withdraw(now, from, id)
	}
	for _, addr := range i.dispatcher.foreign.takeNew() {
		i.sendHeartbeat(addr, i.leadership.Heartbeat(now))
	}
}

// otherLeaders returns the other instances that are known to lead a zone.
func (i *Instance) otherLeaders(now time.Time) map[netip.AddrPort]bool {
	leaders := make(map[netip.AddrPort]bool)
	for _, zone := range i.leadership.Shards() {
		if claim, fresh := i.leadership.Claim(now, zone); fresh && claim.Leader != i.cfg.Self {
			leaders[claim.Leader] = true
		}
	}
	return leaders
}

// receiveLoads records the loads that the leader of another zone has sent.
func (i *Instance) receiveLoads(now time.Time, from netip.AddrPort, loads []*peer.ZoneLoad) {
	for _, load := range loads {
		if i.dispatcher.leading() && i.leads(now, from, load.Zone) {
			i.dispatcher.loads.receive(now, load)
		}
	}
}

// onlyConfirms reports whether the instance at addr gets heartbeats only because it has
// redirected jobs here. It needs no worker table.
func (i *Instance) onlyConfirms(addr netip.AddrPort) bool {
	if i.dispatcher.foreign[addr] == nil {
		return false
	}
	for _, zone := range i.leadership.Shards() {
		if claim, _ := i.leadership.Claim(i.lastEvent, zone); claim.Leader == addr {
			return false
		}
	}
	_, led := i.dispatcher.terms[i.leadership.Zone(addr)]
	return !led && i.leadership.LeaderPerZone()
}

// reportEnd reports the end of a job to the instance at to, at which callers of the job
// wait.
func (i *Instance) reportEnd(now time.Time, to netip.AddrPort, end End) {
	if to == i.cfg.Self {
		i.receiver.jobEnded(now, i.cfg.Self, end)
		return
	}
	env := i.envelope(to)
	env.JobEnds = append(env.JobEnds, encodeEnd(end))
}
