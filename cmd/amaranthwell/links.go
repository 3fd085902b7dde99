package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// links holds the links to peers. Only the control goroutine uses it.
type links struct {
	receiver peer.Receiver
	// open holds the links that have been opened, by the address of the peer.
	open map[netip.AddrPort]*peer.Link
}

func newLinks(receiver peer.Receiver) *links {
	return &links{receiver: receiver, open: make(map[netip.AddrPort]*peer.Link)}
}

// get returns the link to the peer at addr. It opens one if there is none.
func (l *links) get(addr netip.AddrPort) *peer.Link {
	link := l.open[addr]
	if link == nil {
		link = peer.NewLink(addr, l.receiver)
		l.open[addr] = link
	}
	return link
}

// all returns all links.
func (l *links) all() []*peer.Link {
	all := make([]*peer.Link, 0, len(l.open))
	for _, link := range l.open {
		all = append(all, link)
	}
	return all
}

// closeAll closes links after their queued envelopes are sent, or after timeout.
func closeAll(all []*peer.Link, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, link := range all {
		link.Close(ctx)
	}
}
