package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// proxyMode is what a proxy does with the bytes that it receives.
type proxyMode int

const (
	// forwardAll forwards everything.
	forwardAll proxyMode = iota
	// delayAll forwards each chunk after faultDelay.
	delayAll
	// dropResponses drops everything that the server sends.
	dropResponses
	// dropAll drops everything, on open connections and on new ones.
	dropAll
	// dropOpen drops everything on the connections that are open when the mode is
	// set. Later connections work.
	dropOpen
	// proxyModes is the number of modes.
	proxyModes
)

// faultDelay is the delay of each chunk in the mode delayAll, and of each request to the
// store while the fault that delays requests is injected.
const faultDelay = 60 * time.Millisecond

// A proxy forwards TCP connections over loopback, and delays or drops their bytes or
// resets them on request.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	// open holds the open connections of clients. The value is true if dropOpen drops
	// the bytes of the connection.
	open map[net.Conn]bool
}

// newProxy returns a proxy that listens on addr and forwards connections to target
// until the test ends.
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

// pipe copies from one connection to the other and closes both when either ends.
// response is true for the bytes that the server sends.
func (p *proxy) pipe(client, from, to net.Conn, response bool) {
	defer from.Close()
	defer to.Close()
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		if !p.awaitForward(client, response) {
			continue
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// awaitForward waits for the delay of a chunk, if the mode delays it, and reports whether
// to forward the chunk.
func (p *proxy) awaitForward(client net.Conn, response bool) bool {
	p.mu.Lock()
	mode, stalled := p.mode, p.open[client]
	p.mu.Unlock()
	switch mode {
	case delayAll:
		time.Sleep(faultDelay)
	case dropResponses:
		return !response
	case dropAll:
		return false
	}
	return !stalled
}

// runMode sets the mode, waits for duration and sets forwardAll again. After a mode that
// drops bytes it resets all connections, because their streams lack these bytes.
func (p *proxy) runMode(mode proxyMode, duration time.Duration) {
	p.mu.Lock()
	p.mode = mode
	if mode == dropOpen {
		for conn := range p.open {
			p.open[conn] = true
		}
	}
	p.mu.Unlock()
	time.Sleep(duration)
	p.mu.Lock()
	p.mode = forwardAll
	p.mu.Unlock()
	if mode != delayAll {
		p.reset()
	}
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if c, ok := conn.(*net.TCPConn); ok {
			// With a linger time of zero, Close sends a reset.
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
}
