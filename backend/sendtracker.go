package backend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// A countingConn is a connection that counts the writes tried on it and can be
// sealed against further ones.
type countingConn struct {
	net.Conn
	// writes counts the writes tried. It is sealed once none may follow.
	writes atomic.Int64
}

// sealed is the count of a connection on which nothing is written any more.
const sealed = -1

// Write counts the write before any byte may leave. It returns net.ErrClosed
// once the connection is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, net.ErrClosed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(b)
		}
	}
}

// seal reports whether there was no write since the count, and then prevents
// any further one.
func (c *countingConn) seal(count int64) bool {
	return c.writes.CompareAndSwap(count, sealed)
}

// A sendTracker tells whether a request may have reached a server. HTTP/1.1 gives
// the connection to one request at a time, so that any write on it since then
// is the request's.
type sendTracker struct {
	mu     sync.Mutex
	conn   *countingConn
	writesBefore int64
	// maybeSent says that a write may have been tried on an earlier connection.
	maybeSent bool
}

// gotConn notes the connection that the transport chose for the request.
func (m *sendTracker) gotConn(info httptrace.GotConnInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maybeSent = m.maybeSent || !m.sealConn()
	m.conn, _ = info.Conn.(*countingConn)
	if m.conn == nil {
		m.maybeSent = true
		return
	}
	m.writesBefore = m.conn.writes.Load()
}

// sealConn reports whether nothing was written, and nothing ever will, on the
// latest connection.
func (m *sendTracker) sealConn() bool {
	return m.conn == nil || m.conn.seal(m.writesBefore)
}

// nothingSent reports whether certainly no byte of the request was written or
// will be.
func (m *sendTracker) nothingSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maybeSent = m.maybeSent || !m.sealConn()
	return !m.maybeSent
}
