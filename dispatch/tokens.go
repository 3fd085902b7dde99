package dispatch

import (
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// lateStartRetention is the time for which the record of a removed worker is kept, because a
// start command may arrive late at a worker that starts again under its ID.
const lateStartRetention = time.Minute

// formerWorker is the record of a worker that was removed.
type formerWorker struct {
	removedAt   time.Time
	incarnation int64
	token       uint64
	lateStart   lateStart
}

// lateStart describes start commands to a worker that may still arrive.
type lateStart struct {
	// token is the highest of their fencing tokens, and sentAt when the latest was issued.
	token  uint64
	sentAt time.Time
}

// add adds the start command of r.
func (l *lateStart) add(r *run) {
	l.token = max(l.token, r.token)
	l.sentAt = later(l.sentAt, r.since)
}

// latestStart describes the start commands to w that may still arrive.
func (w *worker) latestStart() lateStart {
	l := w.lateStart
	for _, r := range w.runs {
		if r.mayStartLate || r.state == runSent {
			l.add(r)
		}
	}
	return l
}

// recordFormer records w, which is removed, if the token of commands to it is raised.
func (d *dispatcher) recordFormer(now time.Time, w *worker) {
	for id, f := range d.former {
		if now.Sub(f.removedAt) > lateStartRetention {
			delete(d.former, id)
		}
	}
	d.raiseToken(w)
	if w.token > 0 {
		d.former[w.ID] = formerWorker{removedAt: now, incarnation: w.incarnation, token: w.token, lateStart: w.lateStart}
	}
}

// restoreFormer applies the record of an earlier worker with the ID of w, if there is one.
func (d *dispatcher) restoreFormer(w *worker) {
	f, ok := d.former[w.ID]
	if !ok {
		return
	}
	delete(d.former, w.ID)
	w.incarnation, w.token, w.lateStart = f.incarnation, f.token, f.lateStart
}

// token returns the fencing token of commands to w: the term of its zone, or a higher one
// that was raised because a start command may arrive late.
func (d *dispatcher) token(w *worker) uint64 { return max(d.terms[w.shard], w.token) }

// raiseToken raises the token of commands to w, which has restarted or may restart unnoticed,
// if a start command with the present token may still arrive. The next incarnation has no
// record of the stop of that run, but refuses the command once it has seen a higher token.
func (d *dispatcher) raiseToken(w *worker) {
	if _, led := d.terms[w.shard]; !led || d.unfenced {
		return
	}
	if l := w.latestStart(); l.token == 0 || l.token < d.token(w) {
		return
	}
	w.token = peer.RaiseTerm(d.token(w))
	d.effects.decide("worker-token-raised", w.ID, "zone", w.Zone, "term", d.terms[w.shard], "token", w.token)
}

// current reports whether c was issued in the present term of its worker's zone.
func (d *dispatcher) current(w *worker, c Command) bool { return d.terms[w.shard] == c.claim }

// fencedByLeader reports whether c, which was refused because of its token, met another
// leader, and not a token of this leader that was raised since.
func (d *dispatcher) fencedByLeader(w *worker, c Command) bool { return c.Term >= d.token(w) }

// freshWorker returns a worker like w of which no run is known, for an instance that leads no
// zone any more.
func freshWorker(w *worker) *worker {
	fresh := newWorker(w.Worker)
	fresh.shard, fresh.speed, fresh.uncertainSpeed = w.shard, w.speed, w.uncertainSpeed
	fresh.token, fresh.lateStart = w.token, w.latestStart()
	if fresh.lateStart.token > 0 {
		fresh.incarnation = w.incarnation
	}
	return fresh
}
