package backend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// A countingConn is a connection that counts the write attempts on it and can
// be sealed against further ones.
type countingConn struct {
	net.Conn
	// writes is the number of write attempts, or sealed once no further write
	// is allowed.
	writes atomic.Int64
}

// sealed is the value of writes once no further write is allowed.
const sealed = -1

// Write counts the attempt before any byte can be sent. It returns
// net.ErrClosed once the connection is sealed.
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

// seal prevents further writes if there was none since the given count. It
// reports whether it did.
func (c *countingConn) seal(count int64) bool {
	return c.writes.CompareAndSwap(count, sealed)
}

// A sendTracker determines whether a request may have reached a server. With
// HTTP/1.1 a connection serves one request at a time, so any write after the
// connection was obtained belongs to the request.
type sendTracker struct {
	mu           sync.Mutex
	conn         *countingConn
	writesBefore int64
	// maybeSent is true if a write may have been attempted on an earlier
	// connection.
	maybeSent bool
}

// gotConn records the connection that the transport chose for the request.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maybeSent = t.maybeSent || !t.sealConn()
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn == nil {
		t.maybeSent = true
		return
	}
	t.writesBefore = t.conn.writes.Load()
}

// sealConn seals the latest connection if nothing has been written on it for
// the request. It reports whether nothing was written and nothing ever will
// be.
func (t *sendTracker) sealConn() bool {
	return t.conn == nil || t.conn.seal(t.writesBefore)
}

// nothingSent reports whether it is certain that no byte of the request was
// written or will be.
func (t *sendTracker) nothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maybeSent = t.maybeSent || !t.sealConn()
	return !t.maybeSent
}
