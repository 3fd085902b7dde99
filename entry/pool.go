package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// formerTasksFor is how long a former holder's report of the tasks that it still runs
// on a backend server is taken to be true.
const formerTasksFor = 10 * time.Second

// A pool is this instance's view of a pool of the tables: the backend servers that
// it holds, and what is known about the other holders.
type pool struct {
	name      string
	servers   []operator.Server
	scheduler *backend.Scheduler[*Task]
	selector  *peer.HolderSelector
	// holders holds the holder of each backend server as last determined.
	holders map[netip.AddrPort]netip.AddrPort
	// held holds the backend servers that this instance starts tasks on.
	held map[netip.AddrPort]bool
	// awaited maps each backend server that this instance is about to hold to
	// the time until which it waits for the former holder to release the
	// server.
	awaited map[netip.AddrPort]time.Time
	// formerTasks holds, for each backend server on which a former holder
	// reported running tasks, until when that report is taken to be true.
	formerTasks map[netip.AddrPort]time.Time
}

// configure applies the pools and routes of new tables.
func (i *Instance) configure(now time.Time) {
	inTables := make(map[string]bool)
	for _, t := range i.tables.Pools {
		inTables[t.Name] = true
		p := i.pools[t.Name]
		if p == nil {
			p = i.newPool(t.Name)
			i.pools[t.Name] = p
		}
		p.servers = t.Servers
		p.scheduler.SetRoutes(i.routesOf(t.Name))
		p.scheduler.SetDrainedZones(t.DrainedZones)
	}
	for _, name := range sortedMapKeys(i.pools) {
		if !inTables[name] {
			i.pools[name].servers = nil
		}
	}
	for _, r := range i.tables.Routes {
		if q := i.queues[r.Name]; q != nil {
			q.urgency = r.Urgency
		}
	}
	i.sortQueues()
	i.serversVersion = 0
	i.updateServers(now)
	i.markLeaving(now)
}

// newPool returns a pool without servers and routes.
func (i *Instance) newPool(name string) *pool {
	scheduler, err := backend.NewScheduler[*Task](backend.SchedulerConfig{Pool: name})
	if err != nil {
		panic(err)
	}
	return &pool{
		name:        name,
		scheduler:   scheduler,
		selector:    peer.NewHolderSelector(peer.HolderSelectorConfig{Random: i.cfg.Random}),
		holders:     make(map[netip.AddrPort]netip.AddrPort),
		held:        make(map[netip.AddrPort]bool),
		awaited:     make(map[netip.AddrPort]time.Time),
		formerTasks: make(map[netip.AddrPort]time.Time),
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

// updateServers determines which backend servers this instance holds, if the
// members have changed since the last call. It also calls expireWaits for each pool.
func (i *Instance) updateServers(now time.Time) {
	changed := i.serversVersion != i.members.Version()
	i.serversVersion = i.members.Version()
	for _, name := range sortedMapKeys(i.pools) {
		p := i.pools[name]
		if changed {
			i.updatePoolServers(now, p)
		}
		i.expireWaits(now, p)
	}
}

// updatePoolServers determines the holders of one pool's backend servers by the
// current view of the peers, and acquires and releases servers accordingly.
func (i *Instance) updatePoolServers(now time.Time, p *pool) {
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
	for _, addr := range sortedAddrs(p.held) {
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
	if i.leaving || len(p.held) == 0 {
		i.returnHeld(now, p)
	}
}

// acquire begins to hold a backend server if no other instance is likely to start
// tasks there. Otherwise it adds the server to p.awaited, so that this instance holds
// it once the former holder releases it or Config.HoldDown has passed.
func (i *Instance) acquire(now time.Time, p *pool, s operator.Server) {
	if p.held[s.Address] {
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
	p.held[s.Address] = true
}

// release stops holding a backend server and notifies its next holder.
func (i *Instance) release(p *pool, addr, next netip.AddrPort) {
	delete(p.held, addr)
	if next.IsValid() && next != i.cfg.Self {
		box := i.outbox(next)
		box.env.Released = append(box.env.Released, &peer.Released{
			Server:  addr.String(),
			Running: uint32(p.scheduler.Running(addr)),
		})
		box.urgent = true
	}
}

// receiveReleased handles the releases of backend servers by former holders.
func (i *Instance) receiveReleased(now time.Time, env *peer.Envelope) {
	for _, r := range env.Released {
		addr, err := netip.ParseAddrPort(r.Server)
		if err != nil {
			continue
		}
		for _, name := range sortedMapKeys(i.pools) {
			i.takeOver(now, i.pools[name], addr, int(r.Running))
		}
	}
}

// takeOver begins to hold an awaited backend server that its former holder has
// released, and updates the number of that holder's tasks that still run there. It
// does nothing if this instance neither awaits nor holds the server.
func (i *Instance) takeOver(now time.Time, p *pool, addr netip.AddrPort, running int) {
	_, awaited := p.awaited[addr]
	if !awaited && !p.held[addr] {
		return
	}
	delete(p.awaited, addr)
	if running > 0 {
		p.formerTasks[addr] = now.Add(formerTasksFor)
	} else {
		delete(p.formerTasks, addr)
	}
	if awaited {
		p.held[addr] = true
		i.setServers(now, p)
	}
	p.scheduler.SetFormerHolderTasks(now, addr, running)
}

// expireWaits begins to hold the backend servers that their former holders have not
// released in time, and drops the reports of former holders' running tasks that are
// older than formerTasksFor.
func (i *Instance) expireWaits(now time.Time, p *pool) {
	for _, addr := range sortedAddrs(p.formerTasks) {
		if !now.Before(p.formerTasks[addr]) {
			delete(p.formerTasks, addr)
			p.scheduler.SetFormerHolderTasks(now, addr, 0)
		}
	}
	acquired := false
	for _, addr := range sortedAddrs(p.awaited) {
		if !now.Before(p.awaited[addr]) {
			delete(p.awaited, addr)
			p.held[addr] = true
			acquired = true
		}
	}
	if acquired {
		i.setServers(now, p)
	}
}

// setServers passes the held backend servers on to the pool's scheduler.
func (i *Instance) setServers(now time.Time, p *pool) {
	servers := make([]operator.Server, 0, len(p.held))
	for _, s := range p.servers {
		if p.held[s.Address] {
			servers = append(servers, s)
		}
	}
	p.scheduler.SetServers(now, servers)
	i.markLeaving(now)
}

// markLeaving passes on to the schedulers which of the held backend servers the
// platform's list reports as leaving.
func (i *Instance) markLeaving(now time.Time) {
	for _, listed := range i.list.Instances {
		if listed.Kind != peer.BackendServer {
			continue
		}
		for _, name := range sortedMapKeys(i.pools) {
			if p := i.pools[name]; p.held[listed.Address] {
				p.scheduler.SetLeaving(now, listed.Address, listed.Leaving)
			}
		}
	}
}

// notifyNextHolder is called when a task of this instance on a backend server has
// ended. If this instance no longer holds the server, it reports to the present
// holder how many tasks of this instance still run there.
func (i *Instance) notifyNextHolder(p *pool, addr netip.AddrPort) {
	next, ok := p.holders[addr]
	if !ok || p.held[addr] || next == i.cfg.Self {
		return
	}
	box := i.outbox(next)
	box.env.Released = slices.DeleteFunc(box.env.Released, func(r *peer.Released) bool {
		return r.Server == addr.String()
	})
	box.env.Released = append(box.env.Released, &peer.Released{
		Server:  addr.String(),
		Running: uint32(p.scheduler.Running(addr)),
	})
}

// receiveLoad handles the load that a holder reports.
func (i *Instance) receiveLoad(addr netip.AddrPort, env *peer.Envelope) {
	acknowledged := i.members.Acknowledged(addr)
	for _, l := range env.Load.Pools {
		if p := i.pools[l.Pool]; p != nil {
			p.selector.Report(addr, l, acknowledged)
		}
	}
}

// load returns the load of the backend servers that this instance holds.
func (i *Instance) load() *peer.Load {
	l := &peer.Load{}
	for _, name := range sortedMapKeys(i.pools) {
		l.Pools = append(l.Pools, i.pools[name].loadMessage())
	}
	return l
}

// loadMessage returns the message with the load of the pool's held backend
// servers.
func (p *pool) loadMessage() *peer.PoolLoad {
	load := p.scheduler.Load()
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
