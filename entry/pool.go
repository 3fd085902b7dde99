package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// foreignFor is the time for which a former holder's word counts on the tasks
// that it still runs on a backend server.
const foreignFor = 10 * time.Second

// A pool is a pool of the tables as this instance sees it: the backend servers
// that it holds, and what it knows of the other holders.
type pool struct {
	name    string
	servers []operator.Server
	holding *backend.Scheduler[*Task]
	spread  *peer.HolderSelector
	// holders holds the holder of each backend server by the last assignment.
	holders map[netip.AddrPort]netip.AddrPort
	// mine holds the backend servers that this instance starts tasks on.
	mine map[netip.AddrPort]bool
	// awaited holds the backend servers that this instance is to hold, and
	// when it stops waiting for the former holder.
	awaited map[netip.AddrPort]time.Time
	// foreign holds until when a former holder's tasks count on a server.
	foreign map[netip.AddrPort]time.Time
}

// configure takes the pools and routes of new tables.
func (i *Instance) configure(now time.Time) {
	named := make(map[string]bool)
	for _, t := range i.tables.Pools {
		named[t.Name] = true
		p := i.pools[t.Name]
		if p == nil {
			p = i.newPool(t.Name)
			i.pools[t.Name] = p
		}
		p.servers = t.Servers
		p.holding.SetRoutes(i.routesOf(t.Name))
	}
	for _, name := range sorted(i.pools) {
		if !named[name] {
			i.pools[name].servers = nil
		}
	}
	for _, r := range i.tables.Routes {
		if q := i.queues[r.Name]; q != nil {
			q.urgency = r.Urgency
		}
	}
	i.sortQueues()
	i.assigned = 0
	i.assign(now)
	i.markLeaving(now)
}

func (i *Instance) newPool(name string) *pool {
	holding, err := backend.NewScheduler[*Task](backend.SchedulerConfig{Pool: name})
	if err != nil {
		panic(err)
	}
	return &pool{
		name:    name,
		holding: holding,
		spread:  peer.NewHolderSelector(peer.HolderSelectorConfig{Random: i.cfg.Random}),
		holders: make(map[netip.AddrPort]netip.AddrPort),
		mine:    make(map[netip.AddrPort]bool),
		awaited: make(map[netip.AddrPort]time.Time),
		foreign: make(map[netip.AddrPort]time.Time),
	}
}

// routesOf returns the routes that belong to the pool.
func (i *Instance) routesOf(pool string) []operator.Route {
	var routes []operator.Route
	for _, r := range i.tables.Routes {
		if r.Pool == pool {
			routes = append(routes, r)
		}
	}
	return routes
}

// poolOf returns the pool that a route belongs to, or nil.
func (i *Instance) poolOf(route string) *pool {
	if i.tables == nil {
		return nil
	}
	r, ok := i.tables.Route(route)
	if !ok {
		return nil
	}
	return i.pools[r.Pool]
}

// assign settles which backend servers this instance holds.
func (i *Instance) assign(now time.Time) {
	changed := i.assigned != i.members.Version()
	i.assigned = i.members.Version()
	for _, name := range sorted(i.pools) {
		p := i.pools[name]
		if changed {
			i.assignPool(now, p)
		}
		i.endWaits(now, p)
	}
}

// assignPool settles the holders of one pool's backend servers by what this
// instance now believes of its peers.
func (i *Instance) assignPool(now time.Time, p *pool) {
	holders := make(map[netip.AddrPort]netip.AddrPort, len(p.servers))
	for _, s := range p.servers {
		holder, ok := i.members.Holder(s.Address, s.Zone)
		if !ok {
			continue
		}
		holders[s.Address] = holder
		if holder == i.cfg.Self {
			i.acquire(now, p, s)
		}
	}
	for _, addr := range sortedAddrs(p.mine) {
		if holders[addr] != i.cfg.Self {
			i.release(p, addr, holders[addr])
		}
	}
	for addr := range p.awaited {
		if holders[addr] != i.cfg.Self {
			delete(p.awaited, addr)
		}
	}
	p.holders = holders
	i.setServers(now, p)
	if i.leaving || len(p.mine) == 0 {
		i.returnHeld(now, p)
	}
}

// acquire begins to hold a backend server: at once if nobody else is thought to
// start tasks there, else when the former holder lets go of it.
func (i *Instance) acquire(now time.Time, p *pool, s operator.Server) {
	if p.mine[s.Address] {
		return
	}
	if _, ok := p.awaited[s.Address]; ok {
		return
	}
	former, ok := p.holders[s.Address]
	if !ok {
		former, ok = i.members.HolderWithoutSelf(s.Address, s.Zone)
	}
	if ok && former != i.cfg.Self && i.members.SeenRecently(now, former) {
		p.awaited[s.Address] = now.Add(i.cfg.HoldDown)
		return
	}
	p.mine[s.Address] = true
}

// release lets go of a backend server and tells its next holder.
func (i *Instance) release(p *pool, addr, next netip.AddrPort) {
	delete(p.mine, addr)
	if next.IsValid() && next != i.cfg.Self {
		box := i.outbox(next)
		box.env.Released = append(box.env.Released, &peer.Released{
			Server:  addr.String(),
			Running: uint32(p.holding.Running(addr)),
		})
		box.urgent = true
	}
}

// takeReleased takes the word of former holders.
func (i *Instance) takeReleased(now time.Time, env *peer.Envelope) {
	for _, r := range env.Released {
		addr, err := netip.ParseAddrPort(r.Server)
		if err != nil {
			continue
		}
		for _, name := range sorted(i.pools) {
			i.takeOver(now, i.pools[name], addr, int(r.Running))
		}
	}
}

// takeOver begins to use a backend server that its former holder has let go of,
// with some of that holder's tasks still running there.
func (i *Instance) takeOver(now time.Time, p *pool, addr netip.AddrPort, running int) {
	_, awaited := p.awaited[addr]
	if !awaited && !p.mine[addr] {
		return
	}
	delete(p.awaited, addr)
	if running > 0 {
		p.foreign[addr] = now.Add(foreignFor)
	} else {
		delete(p.foreign, addr)
	}
	if awaited {
		p.mine[addr] = true
		i.setServers(now, p)
	}
	p.holding.SetFormerHolderTasks(now, addr, running)
}

// endWaits takes the backend servers whose former holders have not let go of
// them in time.
func (i *Instance) endWaits(now time.Time, p *pool) {
	for _, addr := range sortedAddrs(p.foreign) {
		if !now.Before(p.foreign[addr]) {
			delete(p.foreign, addr)
			p.holding.SetFormerHolderTasks(now, addr, 0)
		}
	}
	taken := false
	for _, addr := range sortedAddrs(p.awaited) {
		if !now.Before(p.awaited[addr]) {
			delete(p.awaited, addr)
			p.mine[addr] = true
			taken = true
		}
	}
	if taken {
		i.setServers(now, p)
	}
}

// setServers tells the pool's holding which backend servers it may use.
func (i *Instance) setServers(now time.Time, p *pool) {
	mine := make([]operator.Server, 0, len(p.mine))
	for _, s := range p.servers {
		if p.mine[s.Address] {
			mine = append(mine, s)
		}
	}
	p.holding.SetServers(now, mine)
	i.markLeaving(now)
}

// markLeaving tells the holdings which backend servers the platform's list
// gives as leaving.
func (i *Instance) markLeaving(now time.Time) {
	for _, listed := range i.listed.Instances {
		if listed.Kind != peer.BackendServer {
			continue
		}
		for _, name := range sorted(i.pools) {
			if p := i.pools[name]; p.mine[listed.Address] {
				p.holding.SetLeaving(now, listed.Address, listed.Leaving)
			}
		}
	}
}

// tellNext tells the holder of a backend server that one of this instance's
// tasks there has ended, if this instance no longer holds the server.
func (i *Instance) tellNext(p *pool, addr netip.AddrPort) {
	next, ok := p.holders[addr]
	if !ok || p.mine[addr] || next == i.cfg.Self {
		return
	}
	box := i.outbox(next)
	box.env.Released = slices.DeleteFunc(box.env.Released, func(r *peer.Released) bool {
		return r.Server == addr.String()
	})
	box.env.Released = append(box.env.Released, &peer.Released{
		Server:  addr.String(),
		Running: uint32(p.holding.Running(addr)),
	})
}

// reported takes the load that a holder reports.
func (i *Instance) reported(addr netip.AddrPort, env *peer.Envelope) {
	received := i.members.Acknowledged(addr)
	for _, l := range env.Load.Pools {
		if p := i.pools[l.Pool]; p != nil {
			p.spread.Report(addr, l, received)
		}
	}
}

// load returns the load of the backend servers that this instance holds.
func (i *Instance) load() *peer.Load {
	l := &peer.Load{}
	for _, name := range sorted(i.pools) {
		l.Pools = append(l.Pools, i.pools[name].report())
	}
	return l
}

// report returns the load of one pool's backend servers.
func (p *pool) report() *peer.PoolLoad {
	load := p.holding.Load()
	l := &peer.PoolLoad{Pool: p.name, Slots: uint32(load.Slots), Free: uint32(load.Free)}
	for _, g := range load.Idle {
		l.Idle = append(l.Idle, &peer.Idle{Free: uint32(g.Free), Slowness: float32(g.Slowness)})
	}
	for _, r := range load.Routes {
		if r.Queued > 0 || r.TypicalRunTime > 0 {
			l.Routes = append(l.Routes, &peer.RouteLoad{
				Route:        r.Route,
				Queued:       uint32(r.Queued),
				TypicalNanos: int64(r.TypicalRunTime),
			})
		}
	}
	return l
}
