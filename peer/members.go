package peer

import (
	"net/netip"
	"slices"
	"time"
)

// MembersConfig configures Members.
type MembersConfig struct {
	// Self is this instance's address for its peers.
	Self netip.AddrPort
	// Zone names this instance's availability zone.
	Zone string
	// Incarnation tells this process from its predecessors at Self. It is
	// not zero.
	Incarnation uint64
	// HeartbeatEvery is the longest time without an envelope to a peer.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a peer is suspected.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which a peer that the platform's
	// list does not hold is gone.
	ForgetAfter time.Duration
}

// Defaults of MembersConfig.
const (
	DefaultHeartbeatEvery = time.Second
	DefaultSuspectAfter   = 4 * time.Second
	DefaultForgetAfter    = 15 * time.Second
)

func (c *MembersConfig) setDefaults() {
	if c.HeartbeatEvery == 0 {
		c.HeartbeatEvery = DefaultHeartbeatEvery
	}
	if c.SuspectAfter == 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
}

// Members is what an instance believes of its peers and why: the platform's
// list names them, and only what was heard from them says that they live. A
// false belief costs time; no safety rests on it.
//
// Members is not safe for concurrent use.
type Members struct {
	cfg     MembersConfig
	leaving bool
	peers   map[netip.AddrPort]*member
	version uint64
	// sessions is the last session that was given out.
	sessions uint64
}

// A member is the belief about one peer.
type member struct {
	address     netip.AddrPort
	zone        string
	incarnation uint64
	// ended holds the incarnations that were followed by another.
	ended map[uint64]bool
	// session is this instance's with the peer, peerSession the peer's with
	// this instance, and past the peer's earlier ones.
	session     uint64
	peerSession uint64
	past        map[uint64]bool
	// candidate is a session heard that may follow peerSession or be an
	// earlier one, and challenge the number whose echo tells.
	candidate uint64
	challenge uint64
	// challenged is the challenge that was last sent.
	challenged uint64
	// echo is the peer's last challenge.
	echo    uint64
	state   lifeState
	listed  bool
	saidBye bool
	heard   time.Time
	// received is the highest sequence taken in peerSession.
	received uint64
	// acknowledged is the highest sequence of session that the peer took.
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	// peerOffset is how far the peer has applied the configuration's log.
	peerOffset uint64
}

// NewMembers returns the beliefs of an instance that has heard of nobody.
func NewMembers(cfg MembersConfig) *Members {
	cfg.setDefaults()
	return &Members{
		cfg:      cfg,
		peers:    make(map[netip.AddrPort]*member),
		version:  1,
		sessions: cfg.Incarnation,
	}
}

// Version grows whenever the set of live members changes.
func (m *Members) Version() uint64 { return m.version }

// SetLeaving says that this instance is shutting down.
func (m *Members) SetLeaving() {
	if !m.leaving {
		m.leaving = true
		m.version++
	}
}

// SetList takes the platform's list as seen at now.
func (m *Members) SetList(now time.Time, list InstanceList) {
	listed := make(map[netip.AddrPort]Instance)
	for _, i := range list.Instances {
		if i.Kind == EntryInstance && i.Address != m.cfg.Self {
			listed[i.Address] = i
		}
	}
	for addr, i := range listed {
		p := m.peer(now, addr)
		p.listed = true
		if p.zone == "" {
			p.zone = i.Zone
		}
		if i.Leaving {
			m.move(p, eventLeave)
		} else if !p.saidBye {
			m.move(p, eventStay)
		}
	}
	for addr, p := range m.peers {
		if _, ok := listed[addr]; !ok {
			p.listed = false
		}
	}
}

// peer returns the belief about addr, and begins one if there is none.
func (m *Members) peer(now time.Time, addr netip.AddrPort) *member {
	p := m.peers[addr]
	if p == nil {
		m.sessions++
		p = &member{
			address: addr,
			session: m.sessions,
			ended:   make(map[uint64]bool),
			past:    make(map[uint64]bool),
			state:   lifeStart,
			heard:   now,
		}
		m.peers[addr] = p
	}
	return p
}

// Tick applies the passing of time and returns the peers that are gone since
// the last call.
func (m *Members) Tick(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	for addr, p := range m.peers {
		silence := now.Sub(p.heard)
		if silence >= m.cfg.SuspectAfter {
			m.move(p, eventSilence)
		}
		if silence >= m.cfg.ForgetAfter && !p.listed {
			m.move(p, eventForget)
		}
		if p.state == lifeGone {
			gone = append(gone, addr)
			delete(m.peers, addr)
		}
	}
	slices.SortFunc(gone, netip.AddrPort.Compare)
	return gone
}

// move applies an event of the chart to p.
func (m *Members) move(p *member, e lifeEvent) {
	next, ok := life.Next(p.state, e)
	if !ok || next == p.state {
		return
	}
	if (next == lifeLive) != (p.state == lifeLive) {
		m.version++
	}
	p.state = next
}

// Live reports whether addr is this instance or a peer that may be given work.
func (m *Members) Live(addr netip.AddrPort) bool {
	if addr == m.cfg.Self {
		return !m.leaving
	}
	p := m.peers[addr]
	return p != nil && p.state == lifeLive
}

// Incarnation returns the incarnation last heard at addr, or 0 if none was.
func (m *Members) Incarnation(addr netip.AddrPort) uint64 {
	if addr == m.cfg.Self {
		return m.cfg.Incarnation
	}
	if p := m.peers[addr]; p != nil {
		return p.incarnation
	}
	return 0
}

// Ended reports whether the given incarnation at addr is known to have ended.
func (m *Members) Ended(addr netip.AddrPort, incarnation uint64) bool {
	if addr == m.cfg.Self {
		return incarnation != m.cfg.Incarnation
	}
	p := m.peers[addr]
	return p != nil && p.ended[incarnation]
}

// Offset returns how far the peer at addr has said to have applied the
// configuration's log.
func (m *Members) Offset(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.peerOffset
	}
	return 0
}

// Addresses returns the peers that are not gone, in order of their addresses.
func (m *Members) Addresses() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(m.peers))
	for addr := range m.peers {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// SetHeader writes the head of an envelope that is sent to addr at now.
func (m *Members) SetHeader(now time.Time, addr netip.AddrPort, env *Envelope) {
	p := m.peer(now, addr)
	p.sent++
	p.sentAt = now
	env.From = m.cfg.Self.String()
	env.Incarnation = m.cfg.Incarnation
	env.Session = p.session
	env.ToSession = p.peerSession
	env.Received = p.received
	env.Challenge = p.challenge
	p.challenged = p.challenge
	env.Echo = p.echo
	env.Sequence = p.sent
	env.Zone = m.cfg.Zone
	env.Leaving = m.leaving
}

// NextSequence returns the sequence of the next envelope to addr.
func (m *Members) NextSequence(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.sent + 1
	}
	return 1
}

// Acknowledged returns the highest sequence that the peer at addr has taken in
// this instance's session.
func (m *Members) Acknowledged(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.acknowledged
	}
	return 0
}

// HeartbeatsDue returns the peers to which nothing was sent for the time
// between heartbeats, or that are to be challenged.
func (m *Members) HeartbeatsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, addr := range m.Addresses() {
		p := m.peers[addr]
		challenge := p.challenge != 0 && p.challenge != p.challenged
		if now.Sub(p.sentAt) >= m.cfg.HeartbeatEvery || challenge {
			due = append(due, addr)
		}
	}
	return due
}
