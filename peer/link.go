package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/amaranthwell/amaranthwell/tcp"
)

// Times and capacity of the links between instances.
const (
	sendTimeout  = 5 * time.Second
	redialAfter  = 200 * time.Millisecond
	linkCapacity = 1024
)

// dialer limits the time for which a link waits for a peer that does not
// respond.
var dialer = tcp.Dialer{ConnectTimeout: 400 * time.Millisecond, UserTimeout: 700 * time.Millisecond}

// Receiver handles what arrives over links. Its methods are called from the
// goroutines of the links.
type Receiver interface {
	// Deliver handles an envelope. It may block to slow the sender down.
	Deliver(env *Envelope)
	// LinkReset reports that envelopes to the peer at addr may have been lost,
	// and that the stream to it accepts envelopes again.
	LinkReset(addr netip.AddrPort)
}

// Listen serves the links that peers open to this instance until ctx ends. It
// returns the first error of the listener.
func Listen(ctx context.Context, listener net.Listener, receiver Receiver) error {
	mux := drpcmux.New()
	if err := DRPCRegisterLink(mux, &linkServer{receiver: receiver}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

type linkServer struct{ receiver Receiver }

// Deliver passes the envelopes of one stream to the receiver until the stream
// ends.
func (s *linkServer) Deliver(stream DRPCLink_DeliverStream) error {
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		s.receiver.Deliver(env)
	}
}

// Link sends envelopes to one peer, in order, over one stream. It reopens the
// stream when it breaks. Envelopes may be lost.
type Link struct {
	address netip.AddrPort
	queue   chan *Envelope
	cancel  context.CancelFunc
	done    chan struct{}
	dropped atomic.Uint64
	// lossPending is set if envelopes may have been lost since the last call of
	// Receiver.LinkReset.
	lossPending atomic.Bool
}

// NewLink returns a Link to the peer at address and starts its goroutine, which
// runs until Close. It calls receiver.LinkReset when envelopes may have been
// lost.
func NewLink(address netip.AddrPort, receiver Receiver) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		address: address,
		queue:   make(chan *Envelope, linkCapacity),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		for ctx.Err() == nil {
			l.sendOverStream(ctx, receiver)
			l.discard()
			pause(ctx, redialAfter)
		}
	}()
	return l
}

// Send queues an envelope. It does not block: if the queue is full, the
// envelope is lost, and Receiver.LinkReset is called once the queue is empty
// again.
func (l *Link) Send(env *Envelope) {
	select {
	case l.queue <- env:
	default:
		l.dropped.Add(1)
		l.lossPending.Store(true)
	}
}

// Dropped returns the number of envelopes that were dropped because the queue
// was full or the stream was down.
func (l *Link) Dropped() uint64 { return l.dropped.Load() }

// Close ends the link. Queued envelopes are sent first, as long as ctx has not
// ended.
func (l *Link) Close(ctx context.Context) {
	for len(l.queue) > 0 && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
	l.cancel()
	<-l.done
}

// discard drops the queued envelopes, because their content may be out of date
// by the time that a stream is open again.
func (l *Link) discard() {
	l.lossPending.Store(true)
	for {
		select {
		case <-l.queue:
			l.dropped.Add(1)
		default:
			return
		}
	}
}

// sendOverStream opens a stream and sends envelopes over it until it breaks or
// ctx ends.
func (l *Link) sendOverStream(ctx context.Context, receiver Receiver) {
	raw, err := dialer.Dial(ctx, "tcp", l.address.String())
	if err != nil {
		return
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	stream, err := NewDRPCLinkClient(conn).Deliver(ctx)
	if err != nil {
		return
	}
	if l.lossPending.Load() {
		l.discard()
		l.lossPending.Store(false)
		receiver.LinkReset(l.address)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Closed():
			return
		case env := <-l.queue:
			if len(l.queue) == 0 && l.lossPending.Swap(false) {
				receiver.LinkReset(l.address)
			}
			_ = raw.SetWriteDeadline(time.Now().Add(sendTimeout))
			if stream.Send(env) != nil {
				return
			}
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
