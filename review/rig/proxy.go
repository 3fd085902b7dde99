package main

import (
	"io"
	"net"
	"sync"
)

// A proxy forwards TCP connections, and can reset them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// forward copies between a connection and a new one to the target, until one of them ends.
func (p *proxy) forward(conn net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[target] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, target}, {target, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, target)
	p.mu.Unlock()
	abort(conn)
	abort(target)
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}

// close ends the proxy.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
