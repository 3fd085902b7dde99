package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
)

// A quitter is a server that closes its connections at random points and
// counts the tasks that arrived, by their keys.
type quitter struct {
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand
	arrived  map[string]int
}

func (q *quitter) chance(n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.random.IntN(n) == 0
}

func (q *quitter) serve() {
	for {
		conn, err := q.listener.Accept()
		if err != nil {
			return
		}
		go q.handle(conn)
	}
}

func (q *quitter) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for !q.chance(4) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// The task counts from its header on, as a server could start it.
		q.mu.Lock()
		q.arrived[request.Header.Get("Submission-Key")]++
		q.mu.Unlock()
		_, _ = io.Copy(io.Discard, request.Body)
		if q.chance(4) {
			reset(conn)
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestRunUnderClosingConnections runs tasks at once against a server that
// closes connections between and within requests. No task may arrive twice,
// and none whose outcome is NotStarted at all.
func TestRunUnderClosingConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	q := &quitter{listener: listener, random: rand.New(rand.NewPCG(1, 2)), arrived: map[string]int{}}
	go q.serve()
	c := newClient(t)
	const workers, tasks = 8, 250
	var outcomes [workers * tasks]backend.Outcome
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < len(outcomes); i += workers {
				outcomes[i] = c.Run(context.Background(), backend.Request{
					Server:  netip.MustParseAddrPort(listener.Addr().String()),
					Key:     fmt.Sprint(i),
					Timeout: time.Minute,
					Payload: []byte("payload"),
				})
			}
		})
	}
	group.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, o := range outcomes {
		arrived := q.arrived[fmt.Sprint(i)]
		switch o.Kind {
		case backend.Done:
			is.Equal(arrived, 1)
		case backend.NotStarted:
			is.Equal(arrived, 0)
		default:
			is.Equal(o.Kind, backend.Lost)
			is.True(arrived <= 1)
		}
	}
}
