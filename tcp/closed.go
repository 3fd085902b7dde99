package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the remote host has closed or reset conn, or conn was closed here,
// as far as the system knows at the time of the call, whether or not there is unread data.
// It reads nothing from conn, so that another goroutine may be reading. It returns false if conn
// has no socket of the system.
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
		switch {
		case err != nil:
			closed = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		case n == 0:
			closed = true
		default:
			closed = !isEstablished(int(fd))
		}
	})
	return closed || err != nil
}

// isEstablished reports whether the TCP connection fd is open in both directions. It returns true
// if the system does not tell.
func isEstablished(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err != nil || info.State == unix.BPF_TCP_ESTABLISHED
}
