package backend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// A countingConn is a connection that counts the attempts to write to it and
// can be sealed, that is, closed for further writes.
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

// seal prevents further writes if there has been no write attempt since writes
// had the value count. It returns true if the connection is now sealed.
func (c *countingConn) seal(count int64) bool {
	return c.writes.CompareAndSwap(count, sealed)
}

// A sendTracker determines whether a request may have reached a server. With
// HTTP/1.1 a connection serves one request at a time, so any write after the
// connection was obtained belongs to the request.
type sendTracker struct {
	mu sync.Mutex
	// conn is the latest connection that the transport chose for the request,
	// or nil. writesBefore is its number of write attempts at that time.
	conn         *countingConn
	writesBefore int64
	// maybeSent is true if a byte of the request may have been sent: a
	// connection could not be sealed, or is not a countingConn.
	maybeSent bool
}

// gotConn records the connection that the transport chose for the request.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maybeSent = t.maybeSent || !t.sealIfUnsent()
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn == nil {
		t.maybeSent = true
		return
	}
	t.writesBefore = t.conn.writes.Load()
}

// sealIfUnsent seals the latest connection if no write for the request has
// been attempted on it. It returns true if none has been and none will be.
func (t *sendTracker) sealIfUnsent() bool {
	return t.conn == nil || t.conn.seal(t.writesBefore)
}

// confirmNothingSent seals the latest connection like sealIfUnsent. It returns
// true if it is certain that no byte of the request was sent, or will be, on
// any connection.
func (t *sendTracker) confirmNothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maybeSent = t.maybeSent || !t.sealIfUnsent()
	return !t.maybeSent
}
