package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A Dialer opens TCP connections.
type Dialer struct {
	// ConnectTimeout bounds the time until a connection is open.
	ConnectTimeout time.Duration
	// UserTimeout is for how long sent bytes may go unacknowledged before a
	// connection fails.
	UserTimeout time.Duration
}

// Dial opens a connection. Its signature is that of http.Transport.DialContext.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.ConnectTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		return limitUnacknowledged(c, d.UserTimeout)
	}}
	return dialer.DialContext(ctx, network, address)
}

func limitUnacknowledged(c syscall.RawConn, limit time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
