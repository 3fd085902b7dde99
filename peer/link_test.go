package peer_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/amaranthwell/amaranthwell/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox is a Receiver that records its calls in channels.
type inbox struct {
	envelopes chan *peer.Envelope
	resets    chan netip.AddrPort
}

func newInbox() *inbox {
	return &inbox{envelopes: make(chan *peer.Envelope, 100), resets: make(chan netip.AddrPort, 100)}
}

func (i *inbox) Deliver(env *peer.Envelope)    { i.envelopes <- env }
func (i *inbox) LinkReset(addr netip.AddrPort) { i.resets <- addr }

// serve listens at addr until the returned function is called.
func serve(t *testing.T, addr string, to peer.Receiver) (netip.AddrPort, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Listen(ctx, listener, to)
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), func() { cancel(); <-done }
}

// TestLinkReportsResetAfterReconnect guards against a link that does not notice
// that its peer was restarted, or that does not report the possible loss.
func TestLinkReportsResetAfterReconnect(t *testing.T) {
	is := is.New(t)
	to := newInbox()
	addr, stop := serve(t, "127.0.0.1:0", to)
	from := newInbox()
	link := peer.NewLink(addr, from)
	link.Send(&peer.Envelope{Sequence: 1})
	is.Equal((<-to.envelopes).Sequence, uint64(1))
	stop()
	_, stop = serve(t, addr.String(), to)
	defer stop()
	// The link detects the lost connection without a send and opens a new stream.
	is.Equal(<-from.resets, addr)
	link.Send(&peer.Envelope{Sequence: 2})
	is.Equal((<-to.envelopes).Sequence, uint64(2))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link.Close(ctx)
}

// TestLinkReportsDroppedEnvelopes fills the queue of a link whose peer does not
// read. The link must report the loss, once, after the queue is empty again.
func TestLinkReportsDroppedEnvelopes(t *testing.T) {
	is := is.New(t)
	to := &inbox{envelopes: make(chan *peer.Envelope)}
	addr, stop := serve(t, "127.0.0.1:0", to)
	defer stop()
	from := newInbox()
	link := peer.NewLink(addr, from)
	sent := uint64(1)
	link.Send(&peer.Envelope{Sequence: sent})
	is.Equal((<-to.envelopes).Sequence, sent)
	large := make([]byte, 64<<10)
	for link.Dropped() == 0 {
		sent++
		link.Send(&peer.Envelope{Sequence: sent, Configuration: large})
	}
	for last := uint64(0); last < sent-1; {
		last = (<-to.envelopes).Sequence
	}
	// All envelopes that were not dropped have arrived over one stream.
	is.Equal(len(from.resets), 1)
	is.Equal(<-from.resets, addr)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link.Close(ctx)
}

// TestLinkDropsEnvelopesQueuedBeforeItsStream sends envelopes to a peer that
// cannot be reached. Once the peer is back, it must not receive them, because
// their content is out of date.
func TestLinkDropsEnvelopesQueuedBeforeItsStream(t *testing.T) {
	is := is.New(t)
	to := newInbox()
	addr, stop := serve(t, "127.0.0.1:0", to)
	stop()
	from := newInbox()
	link := peer.NewLink(addr, from)
	for range 30 { // longer than redialAfter
		link.Send(&peer.Envelope{Sequence: 1})
		time.Sleep(10 * time.Millisecond)
	}
	for range 30 {
		link.Send(&peer.Envelope{Sequence: 1})
	}
	_, stop = serve(t, addr.String(), to)
	defer stop()
	// The stream cannot have been open before. Envelopes sent from now on may arrive.
	is.Equal(<-from.resets, addr)
	link.Send(&peer.Envelope{Sequence: 2})
	for env := range to.envelopes {
		if env.Sequence == 2 {
			break
		}
		t.Error("received an envelope that was queued before the stream was open")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link.Close(ctx)
}
