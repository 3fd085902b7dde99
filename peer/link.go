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

// Times of the links between instances.
const (
	sendTimeout  = 5 * time.Second
	redialAfter  = 200 * time.Millisecond
	linkCapacity = 1024
)

// dialer bounds how long a link hangs on a peer that has gone silent.
var dialer = tcp.Dialer{ConnectTimeout: 400 * time.Millisecond, UserTimeout: 700 * time.Millisecond}

// A Receiver takes what arrives over links. Its methods are called from the
// goroutines of the links.
type Receiver interface {
	// Deliver takes an envelope. It may block to slow the sender down.
	Deliver(env *Envelope)
	// LinkReset says that envelopes to the peer at addr may have been lost,
	// and that the stream to it takes envelopes again.
	LinkReset(addr netip.AddrPort)
}

// Listen serves the links that peers open to this instance until ctx ends.
// It returns the first error of the listener.
func Listen(ctx context.Context, listener net.Listener, receiver Receiver) error {
	mux := drpcmux.New()
	if err := DRPCRegisterLink(mux, &linkServer{receiver: receiver}); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

type linkServer struct{ receiver Receiver }

// Deliver takes the envelopes of one stream.
func (s *linkServer) Deliver(stream DRPCLink_DeliverStream) error {
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		s.receiver.Deliver(env)
	}
}

// A Link carries envelopes to one peer, in order, over one stream that it opens
// anew when it breaks. Envelopes may be lost.
type Link struct {
	address netip.AddrPort
	queue   chan *Envelope
	cancel  context.CancelFunc
	done    chan struct{}
	dropped atomic.Uint64
	// lossy says that envelopes may have been lost since the receiver was
	// last told so.
	lossy atomic.Bool
}

// NewLink returns a Link to the peer at address. It tells receiver when
// envelopes may have been lost. Close ends it.
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
			l.carry(ctx, receiver)
			l.discard()
			pause(ctx, redialAfter)
		}
	}()
	return l
}

// Send queues an envelope. It does not block: if the link cannot keep up, the
// envelope is lost, and the receiver is told so once the link has caught up.
func (l *Link) Send(env *Envelope) {
	select {
	case l.queue <- env:
	default:
		l.dropped.Add(1)
		l.lossy.Store(true)
	}
}

// Dropped returns the number of envelopes that were lost because the link
// could not keep up.
func (l *Link) Dropped() uint64 { return l.dropped.Load() }

// Close ends the link. Envelopes that wait are sent first, for as long as ctx
// lasts.
func (l *Link) Close(ctx context.Context) {
	for len(l.queue) > 0 && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
	l.cancel()
	<-l.done
}

// discard drops the envelopes that wait: what they say may be stale by the time
// that there is a stream again.
func (l *Link) discard() {
	l.lossy.Store(true)
	for {
		select {
		case <-l.queue:
			l.dropped.Add(1)
		default:
			return
		}
	}
}

// carry opens a stream and sends envelopes over it until it breaks.
func (l *Link) carry(ctx context.Context, receiver Receiver) {
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
	if l.lossy.Load() {
		l.discard()
		l.lossy.Store(false)
		receiver.LinkReset(l.address)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Closed():
			return
		case env := <-l.queue:
			if len(l.queue) == 0 && l.lossy.Swap(false) {
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
