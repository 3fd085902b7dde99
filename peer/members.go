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
	// Zone is the name of this instance's availability zone.
	Zone string
	// Incarnation distinguishes this process from earlier ones at Self. It is
	// not zero.
	Incarnation uint64
	// HeartbeatEvery is the longest time between two envelopes to a peer.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time after which a peer from which nothing was
	// received is suspected.
	SuspectAfter time.Duration
	// ForgetAfter is the time after which a peer from which nothing was
	// received is gone, unless the platform's list contains it.
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

// Members is an instance's view of its peers. The platform's list names peers,
// and received envelopes show that they are live. A wrong view costs time, but
// safety does not depend on it.
//
// Members is not safe for concurrent use.
type Members struct {
	cfg     MembersConfig
	leaving bool
	peers   map[netip.AddrPort]*member
	version uint64
	// lastSession is the last session or challenge number that was assigned.
	lastSession uint64
}

// member is the state of one peer.
type member struct {
	address     netip.AddrPort
	zone        string
	incarnation uint64
	// endedIncarnations holds the incarnations that another one has followed.
	endedIncarnations map[uint64]bool
	// ownSession is this instance's session with the peer, peerSession is the
	// peer's session with this instance, and pastSessions are the peer's
	// earlier ones.
	ownSession   uint64
	peerSession  uint64
	pastSessions map[uint64]bool
	// candidateSession is a received session that is either later or earlier
	// than peerSession, and challenge is the number whose echo decides which.
	candidateSession uint64
	challenge        uint64
	// challengeSent is the challenge that was last sent.
	challengeSent uint64
	// echoDue is the peer's last challenge.
	echoDue          uint64
	state            peerState
	listed           bool
	announcedLeaving bool
	lastSeen         time.Time
	// received is the highest sequence received in peerSession.
	received uint64
	// acknowledged is the highest sequence of ownSession that the peer has
	// received.
	acknowledged uint64
	sent         uint64
	sentAt       time.Time
	// peerOffset is the offset of the configuration's log up to which the peer
	// has applied it.
	peerOffset uint64
}

// NewMembers returns the view of an instance that knows no peers.
func NewMembers(cfg MembersConfig) *Members {
	cfg.setDefaults()
	return &Members{
		cfg:         cfg,
		peers:       make(map[netip.AddrPort]*member),
		version:     1,
		lastSession: cfg.Incarnation,
	}
}

// Version returns a number that grows whenever the set of live members or the
// zone of a peer changes.
func (m *Members) Version() uint64 { return m.version }

// SetLeaving records that this instance is shutting down.
func (m *Members) SetLeaving() {
	if !m.leaving {
		m.leaving = true
		m.version++
	}
}

// SetList applies the platform's list as read at now.
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
			m.apply(p, eventLeave)
		} else if !p.announcedLeaving {
			m.apply(p, eventStay)
		}
	}
	for addr, p := range m.peers {
		if _, ok := listed[addr]; !ok {
			p.listed = false
		}
	}
}

// peer returns the state of the peer at addr, and creates it if there is none.
func (m *Members) peer(now time.Time, addr netip.AddrPort) *member {
	p := m.peers[addr]
	if p == nil {
		m.lastSession++
		p = &member{
			address:           addr,
			ownSession:        m.lastSession,
			endedIncarnations: make(map[uint64]bool),
			pastSessions:      make(map[uint64]bool),
			state:             stateStart,
			lastSeen:          now,
		}
		m.peers[addr] = p
	}
	return p
}

// Tick applies the passing of time. It returns the peers that are gone since
// the last call, in the order of their addresses.
func (m *Members) Tick(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	for addr, p := range m.peers {
		idle := now.Sub(p.lastSeen)
		if idle >= m.cfg.SuspectAfter {
			m.apply(p, eventSilence)
		}
		if idle >= m.cfg.ForgetAfter && !p.listed {
			m.apply(p, eventForget)
		}
		if p.state == stateGone {
			gone = append(gone, addr)
			delete(m.peers, addr)
		}
	}
	slices.SortFunc(gone, netip.AddrPort.Compare)
	return gone
}

// apply applies an event of the state chart to p.
func (m *Members) apply(p *member, e peerEvent) {
	next, ok := stateChart.Next(p.state, e)
	if !ok || next == p.state {
		return
	}
	if (next == stateLive) != (p.state == stateLive) {
		m.version++
	}
	p.state = next
}

// Live reports whether addr is this instance or a peer that may be assigned
// tasks.
func (m *Members) Live(addr netip.AddrPort) bool {
	if addr == m.cfg.Self {
		return !m.leaving
	}
	p := m.peers[addr]
	return p != nil && p.state == stateLive
}

// Incarnation returns the incarnation last received from addr, or 0 if there is
// none.
func (m *Members) Incarnation(addr netip.AddrPort) uint64 {
	if addr == m.cfg.Self {
		return m.cfg.Incarnation
	}
	if p := m.peers[addr]; p != nil {
		return p.incarnation
	}
	return 0
}

// Ended reports whether incarnation at addr is known to have ended.
func (m *Members) Ended(addr netip.AddrPort, incarnation uint64) bool {
	if addr == m.cfg.Self {
		return incarnation != m.cfg.Incarnation
	}
	p := m.peers[addr]
	return p != nil && p.endedIncarnations[incarnation]
}

// Offset returns the offset of the configuration's log up to which the peer at
// addr reported to have applied it, or 0 if the peer is unknown.
func (m *Members) Offset(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.peerOffset
	}
	return 0
}

// Addresses returns the addresses of the peers that are not gone, in ascending
// order.
func (m *Members) Addresses() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(m.peers))
	for addr := range m.peers {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// SetHeader sets the header fields of an envelope that is sent to addr at now.
func (m *Members) SetHeader(now time.Time, addr netip.AddrPort, env *Envelope) {
	p := m.peer(now, addr)
	p.sent++
	p.sentAt = now
	env.From = m.cfg.Self.String()
	env.Incarnation = m.cfg.Incarnation
	env.Session = p.ownSession
	env.ToSession = p.peerSession
	env.Received = p.received
	env.Challenge = p.challenge
	p.challengeSent = p.challenge
	env.Echo = p.echoDue
	env.Sequence = p.sent
	env.Zone = m.cfg.Zone
	env.Leaving = m.leaving
}

// NextSequence returns the sequence number of the next envelope to addr.
func (m *Members) NextSequence(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.sent + 1
	}
	return 1
}

// Acknowledged returns the highest sequence number of this instance's session
// that the peer at addr has received.
func (m *Members) Acknowledged(addr netip.AddrPort) uint64 {
	if p := m.peers[addr]; p != nil {
		return p.acknowledged
	}
	return 0
}

// HeartbeatsDue returns the peers to which nothing was sent for HeartbeatEvery,
// and those to which a new challenge is to be sent.
func (m *Members) HeartbeatsDue(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, addr := range m.Addresses() {
		p := m.peers[addr]
		challenge := p.challenge != 0 && p.challenge != p.challengeSent
		if now.Sub(p.sentAt) >= m.cfg.HeartbeatEvery || challenge {
			due = append(due, addr)
		}
	}
	return due
}
