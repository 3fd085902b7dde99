package peer

import (
	"net/netip"
	"time"
)

// A EnvelopeStatus says what an envelope tells about its sender.
type EnvelopeStatus struct {
	// Fresh says that the envelope counts. A duplicate, an envelope that
	// was overtaken, or one of an ended session does not.
	Fresh bool
	// Gap says that earlier envelopes of the sender were lost.
	Gap bool
	// Restarted says that the sender's former session has ended: it has
	// forgotten what it knew of this instance.
	Restarted bool
	// Current says that the sender knows this instance's session, so that
	// this instance remembers all that the sender has asked of it.
	Current bool
}

// Receive takes the head of an envelope that arrived at now from addr.
func (m *Members) Receive(now time.Time, addr netip.AddrPort, env *Envelope) EnvelopeStatus {
	p := m.peer(now, addr)
	if env.Session == 0 || p.past[env.Session] || p.ended[env.Incarnation] {
		return EnvelopeStatus{}
	}
	if env.Challenge != 0 {
		p.echo = env.Challenge
	}
	var h EnvelopeStatus
	if p.peerSession != env.Session {
		if p.peerSession != 0 && !m.follows(p, env) {
			return EnvelopeStatus{}
		}
		h.Restarted = p.peerSession != 0
		m.restart(p, env)
	}
	m.settleCandidate(p, env)
	if env.Sequence <= p.received {
		return EnvelopeStatus{}
	}
	h.Fresh = true
	h.Gap = env.Sequence != p.received+1
	h.Current = env.ToSession == p.session
	p.received = env.Sequence
	p.heard = now
	p.peerOffset = env.ConfigurationOffset
	if h.Current {
		p.acknowledged = max(p.acknowledged, env.Received)
	}
	if p.zone != env.Zone {
		p.zone = env.Zone
		m.version++
	}
	m.move(p, eventHeard)
	if env.Leaving {
		p.saidBye = true
		m.move(p, eventLeave)
	}
	return h
}

// follows reports whether the envelope's session is proved to be later than the
// one known of p. An envelope that was delayed for long may be of an earlier one:
// only an echo of a challenge that was made since shows who lives at the address.
func (m *Members) follows(p *member, env *Envelope) bool {
	if p.candidate == env.Session {
		return p.challenge != 0 && env.Echo == p.challenge
	}
	p.candidate = env.Session
	m.sessions++
	p.challenge = m.sessions
	return false
}

// settleCandidate drops the candidate once p's known session has answered the
// challenge: then the candidate is an earlier one.
func (m *Members) settleCandidate(p *member, env *Envelope) {
	if p.candidate == 0 || p.challenge == 0 || env.Echo != p.challenge {
		return
	}
	if p.candidate != env.Session {
		p.past[p.candidate] = true
	}
	p.candidate, p.challenge = 0, 0
}

// restart records that p has begun a new session.
func (m *Members) restart(p *member, env *Envelope) {
	if p.peerSession != 0 {
		p.past[p.peerSession] = true
		m.move(p, eventRestart)
	}
	if p.incarnation != 0 && p.incarnation != env.Incarnation {
		p.ended[p.incarnation] = true
		p.saidBye = false
	}
	p.incarnation = env.Incarnation
	p.peerSession = env.Session
	p.received = 0
}
