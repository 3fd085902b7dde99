package peer

import (
	"net/netip"
	"time"
)

// EnvelopeStatus describes a received envelope in relation to the earlier ones
// of its sender.
type EnvelopeStatus struct {
	// Fresh reports whether the envelope counts. It is false for a duplicate,
	// for an envelope that a later one has overtaken, and for one of an ended
	// session.
	Fresh bool
	// Gap reports whether earlier envelopes of the sender were lost or
	// overtaken.
	Gap bool
	// Restarted reports whether the sender's former session has ended: the
	// sender has lost all state about this instance.
	Restarted bool
	// Current reports whether the sender knows this instance's session. Then
	// this instance still has the state of all that the sender has requested.
	Current bool
}

// Receive handles the header of an envelope that arrived from addr at now. It
// returns the zero EnvelopeStatus if the envelope does not count.
func (m *Members) Receive(now time.Time, addr netip.AddrPort, env *Envelope) EnvelopeStatus {
	p := m.peer(now, addr)
	if env.Session == 0 || p.pastSessions[env.Session] || p.endedIncarnations[env.Incarnation] {
		return EnvelopeStatus{}
	}
	if env.Challenge != 0 {
		p.echoDue = env.Challenge
	}
	var status EnvelopeStatus
	if p.peerSession != env.Session {
		if p.peerSession != 0 && !m.isProvedSuccessor(p, env) {
			return EnvelopeStatus{}
		}
		status.Restarted = p.peerSession != 0
		m.startSession(p, env)
	}
	m.resolveCandidate(p, env)
	if env.Sequence <= p.received {
		return EnvelopeStatus{}
	}
	status.Fresh = true
	status.Gap = env.Sequence != p.received+1
	status.Current = env.ToSession == p.ownSession
	p.received = env.Sequence
	p.lastSeen = now
	p.peerOffset = env.ConfigurationOffset
	if status.Current {
		p.acknowledged = max(p.acknowledged, env.Received)
	}
	if p.zone != env.Zone {
		p.zone = env.Zone
		m.version++
	}
	m.apply(p, eventReceived)
	if env.Leaving {
		p.announcedLeaving = true
		m.apply(p, eventLeave)
	}
	return status
}

// isProvedSuccessor reports whether the session of env is proved to be later
// than the known session of p. A long-delayed envelope may belong to an earlier
// session. Only the echo of a challenge that was made since then proves which
// process is at the address now.
func (m *Members) isProvedSuccessor(p *member, env *Envelope) bool {
	if p.candidateSession == env.Session {
		return p.challenge != 0 && env.Echo == p.challenge
	}
	p.candidateSession = env.Session
	m.lastSession++
	p.challenge = m.lastSession
	return false
}

// resolveCandidate drops the candidate session once the known session of p has
// answered the challenge, because the candidate is then an earlier session.
func (m *Members) resolveCandidate(p *member, env *Envelope) {
	if p.candidateSession == 0 || p.challenge == 0 || env.Echo != p.challenge {
		return
	}
	if p.candidateSession != env.Session {
		p.pastSessions[p.candidateSession] = true
	}
	p.candidateSession, p.challenge = 0, 0
}

// startSession records that p has started the session of env.
func (m *Members) startSession(p *member, env *Envelope) {
	if p.peerSession != 0 {
		p.pastSessions[p.peerSession] = true
		m.apply(p, eventRestart)
	}
	if p.incarnation != 0 && p.incarnation != env.Incarnation {
		p.endedIncarnations[p.incarnation] = true
		p.announcedLeaving = false
	}
	p.incarnation = env.Incarnation
	p.peerSession = env.Session
	p.received = 0
}
