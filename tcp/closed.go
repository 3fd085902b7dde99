package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the remote host has closed or reset conn, or conn was closed here,
// as far as the system knows at the time of the call. Unread data hides that the remote host
// has closed the connection. ClosedByPeer reads nothing from conn, so that another goroutine may
// be reading. It returns false if conn has no socket of the system.
func ClosedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil {
			closed = n == 0
			return
		}
		closed = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return closed || err != nil
}
