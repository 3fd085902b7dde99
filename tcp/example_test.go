package tcp_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/amaranthwell/amaranthwell/tcp"
)

func ExampleDialer() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer listener.Close()
	dialer := tcp.Dialer{ConnectTimeout: time.Second, UserTimeout: time.Second}
	conn, err := dialer.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	fmt.Println(conn.RemoteAddr().String() == listener.Addr().String())
	// Output: true
}
