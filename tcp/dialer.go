package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A Dialer opens TCP connections that fail if the remote host stops acknowledging data.
type Dialer struct {
	// ConnectTimeout is the time within which a connection must be open. Zero
	// means no limit.
	ConnectTimeout time.Duration
	// UserTimeout is the value of TCP_USER_TIMEOUT: the time that sent bytes may
	// stay unacknowledged before the connection fails. It is set in whole
	// milliseconds; zero means the default of the system.
	UserTimeout time.Duration
}

// Dial opens a connection. Its signature is that of http.Transport.DialContext.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.ConnectTimeout, Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, d.UserTimeout)
	}}
	return dialer.DialContext(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on the connection.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}
