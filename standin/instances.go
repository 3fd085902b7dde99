package standin

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// InstancesConfig configures an Instances.
type InstancesConfig struct {
	// Lag is the time after which a change shows up in the list.
	Lag time.Duration
	// Now returns the present time. Nil means time.Now.
	Now func() time.Time
}

// An Instance is one entry of the list.
type Instance struct {
	// Address identifies the instance.
	Address netip.AddrPort `json:"address"`
	// Kind is "entry" or "backend".
	Kind string `json:"kind"`
	// Zone names the instance's availability zone.
	Zone string `json:"zone"`
	// Leaving says that the instance is about to end.
	Leaving bool `json:"leaving"`
}

// change is a change of the list that shows up at a time.
type change struct {
	at       time.Time
	address  netip.AddrPort
	instance *Instance // Nil removes the address.
}

// An Instances is a stand-in for the platform's list of live and leaving
// instances. It is an http.Handler and safe for concurrent use.
type Instances struct {
	cfg    InstancesConfig
	router chi.Router

	mu      sync.Mutex
	down    bool
	visible map[netip.AddrPort]Instance
	pending []change
}

// NewInstances returns an Instances whose list is empty.
func NewInstances(cfg InstancesConfig) *Instances {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	in := &Instances{cfg: cfg, visible: make(map[netip.AddrPort]Instance)}
	in.router = chi.NewRouter()
	in.router.Get("/v1/instances", in.handleList)
	in.router.Put("/v1/instances/{address}", in.handlePut)
	in.router.Delete("/v1/instances/{address}", in.handleDelete)
	in.router.Put("/v1/faults", in.handleFaults)
	return in
}

// ServeHTTP answers one request.
func (in *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.router.ServeHTTP(w, r)
}

// SetDown makes the list answer 503, or lets it answer again. Changes by Put
// and Delete are taken meanwhile.
func (in *Instances) SetDown(down bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.down = down
}

// Put adds or replaces an instance.
func (in *Instances) Put(instance Instance) {
	in.change(instance.Address, &instance)
}

// Delete removes the instance at address.
func (in *Instances) Delete(address netip.AddrPort) {
	in.change(address, nil)
}

func (in *Instances) change(address netip.AddrPort, instance *Instance) {
	in.mu.Lock()
	defer in.mu.Unlock()
	at := in.cfg.Now().Add(in.cfg.Lag)
	in.pending = append(in.pending, change{at: at, address: address, instance: instance})
}

// List returns what the list shows, sorted by address.
func (in *Instances) List() []Instance {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := in.cfg.Now()
	for len(in.pending) > 0 && !in.pending[0].at.After(now) {
		in.apply(in.pending[0])
		in.pending = in.pending[1:]
	}
	return slices.SortedFunc(maps.Values(in.visible), func(a, b Instance) int {
		return a.Address.Compare(b.Address)
	})
}

// apply makes c visible; in.mu is held.
func (in *Instances) apply(c change) {
	if c.instance == nil {
		delete(in.visible, c.address)
		return
	}
	in.visible[c.address] = *c.instance
}

func (in *Instances) isDown() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.down
}

func (in *Instances) handleList(w http.ResponseWriter, _ *http.Request) {
	if in.isDown() {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	list := in.List()
	if list == nil {
		list = []Instance{}
	}
	writeJSON(w, struct {
		Instances []Instance `json:"instances"`
	}{list})
}

func (in *Instances) handlePut(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(chi.URLParam(r, "address"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var instance Instance
	if !readJSON(w, r, &instance) {
		return
	}
	instance.Address = address
	in.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (in *Instances) handleDelete(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(chi.URLParam(r, "address"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.Delete(address)
	w.WriteHeader(http.StatusNoContent)
}

func (in *Instances) handleFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Down bool `json:"down"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	in.SetDown(body.Down)
	w.WriteHeader(http.StatusNoContent)
}
