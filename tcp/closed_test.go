package tcp_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/tcp"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	opened, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = opened.Close()
		_ = accepted.Close()
	})
	return opened.(*net.TCPConn), accepted.(*net.TCPConn)
}

// awaitClosed waits until conn counts as closed by its peer.
func awaitClosed(conn net.Conn) {
	for !tcp.ClosedByPeer(conn) {
		time.Sleep(time.Millisecond)
	}
}

// A connection that the remote host has closed or reset must be seen as closed although nobody
// reads from it, or while another goroutine does.
func TestClosedByPeer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"closed":      func(c *net.TCPConn) error { return c.Close() },
		"half-closed": func(c *net.TCPConn) error { return c.CloseWrite() },
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t)
			is.True(!tcp.ClosedByPeer(server))
			is.NoErr(end(client))
			awaitClosed(server)
			_, err := server.Read(make([]byte, 1))
			is.True(err != nil) // the end is still read
			is.True(tcp.ClosedByPeer(server))
		})
		t.Run(name+" beside a reader", func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t)
			read := make(chan error)
			go func() {
				_, err := server.Read(make([]byte, 1))
				read <- err
			}()
			is.True(!tcp.ClosedByPeer(server))
			is.NoErr(end(client))
			awaitClosed(server)
			is.True(<-read != nil)
			is.True(tcp.ClosedByPeer(server))
		})
	}
}

// Unread data must not hide that the remote host has closed a connection.
func TestClosedByPeerBehindUnreadData(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	_, err := client.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(client.Close())
	awaitClosed(server)
	_, err = server.Read(make([]byte, 1))
	is.NoErr(err) // the data is still read
}

// Data that was not read does not count as the end of a connection, and a connection that was
// closed here does.
func TestClosedByPeerOfAnOpenConnection(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	_, err := client.Write([]byte("x"))
	is.NoErr(err)
	is.True(!tcp.ClosedByPeer(server))
	is.NoErr(server.Close())
	is.True(tcp.ClosedByPeer(server))
}
