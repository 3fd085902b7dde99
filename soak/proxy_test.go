package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// treatment is what a proxy does to the bytes that pass it.
type treatment int

const (
	passing treatment = iota
	// delaying holds each piece back for slowBy.
	delaying
	// answerless loses what the server says.
	answerless
	// mute loses everything, on open connections and on new ones.
	mute
	// stale loses everything on the connections that are open at its start, while
	// new ones work.
	stale
	treatments
)

// slowBy is how long a delaying proxy holds a piece back.
const slowBy = 60 * time.Millisecond

// A proxy passes TCP connections on over loopback, and harms them on demand.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	now      treatment
	// open are the connections, and whether they are lost to a stale treatment.
	open map[net.Conn]bool
}

// newProxy passes what connects to addr on to target, until the test ends.
func newProxy(t *testing.T, addr, target string) *proxy {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", addr)
	is.NoErr(err)
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	p.open[client] = false
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, client)
		p.mu.Unlock()
		_ = client.Close()
	}()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { p.pipe(client, client, server, false) })
	both.Go(func() { p.pipe(client, server, client, true) })
	both.Wait()
}

// pipe copies from one end to the other, and closes both when either ends.
func (p *proxy) pipe(client, from, to net.Conn, answer bool) {
	defer from.Close()
	defer to.Close()
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		if !p.lets(client, answer) {
			continue
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

// lets reports whether a piece passes, and holds it back for as long as it must.
func (p *proxy) lets(client net.Conn, answer bool) bool {
	p.mu.Lock()
	now, lost := p.now, p.open[client]
	p.mu.Unlock()
	switch now {
	case delaying:
		time.Sleep(slowBy)
	case answerless:
		return !answer
	case mute:
		return false
	}
	return !lost
}

// treat harms what passes for a while. Connections that have lost bytes end with it.
func (p *proxy) treat(with treatment, lasts time.Duration) {
	p.mu.Lock()
	p.now = with
	if with == stale {
		for conn := range p.open {
			p.open[conn] = true
		}
	}
	p.mu.Unlock()
	time.Sleep(lasts)
	p.mu.Lock()
	p.now = passing
	p.mu.Unlock()
	if with != delaying {
		p.reset()
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if c, ok := conn.(*net.TCPConn); ok {
			// Without lingering the close is a reset.
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
}
