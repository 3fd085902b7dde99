package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// controlTimeout is the timeout of one request to a stand-in.
const controlTimeout = 10 * time.Second

// A platform is a client of the stand-ins for the platform and the workers.
type platform struct {
	client *http.Client
	// host is the loopback address of the stand-ins.
	host netip.Addr
}

func newPlatform(host netip.Addr) *platform {
	return &platform{client: &http.Client{Timeout: controlTimeout}, host: host}
}

func (p *platform) storeAddress() netip.AddrPort { return netip.AddrPortFrom(p.host, storePort) }

func (p *platform) controlAddress() netip.AddrPort { return netip.AddrPortFrom(p.host, controlPort) }

// recordURL returns the URL of the record for addr under topic in the stand-in for
// the store.
func (p *platform) recordURL(topic string, addr netip.AddrPort) string {
	return "http://" + p.storeAddress().String() + "/v1/records/" + topic + "/" + addr.String()
}

// Topics of the store, and states of a backend server in its record.
const (
	serverTopic  = "keyed.servers"
	memberTopic  = "keyed.members"
	stateReady   = "ready"
	stateLeaving = "draining"
)

// putServer adds a backend server to the platform's list, or replaces its record.
func (p *platform) putServer(ctx context.Context, addr netip.AddrPort, zone, state string) error {
	return p.send(ctx, http.MethodPut, p.recordURL(serverTopic, addr), map[string]any{
		"service": "load", "address": addr, "zone": zone, "state": state, "capacity": map[string]int{"cpu": 1},
	})
}

// deleteMember removes an entry instance from the platform's list.
func (p *platform) deleteMember(ctx context.Context, addr netip.AddrPort) error {
	return p.send(ctx, http.MethodDelete, p.recordURL(memberTopic, addr), nil)
}

// A fault configures how a stand-in for a backend server misbehaves, and whether the
// server reports that it is leaving.
type fault struct {
	FailAll    bool    `json:"fail-all"`
	SlowFactor float64 `json:"slow-factor,omitempty"`
	Vanish     bool    `json:"vanish"`
	Leaving    bool    `json:"leaving"`
}

// setFault replaces the simulated faults of the backend server at addr.
func (p *platform) setFault(ctx context.Context, addr netip.AddrPort, f fault) error {
	url := "http://" + p.controlAddress().String() + "/v1/faults?server=" + addr.String()
	return p.send(ctx, http.MethodPut, url, f)
}

// starts holds the counts of the worker stand-in. ByKey holds, by submission key, the
// number of starts of each task at the task's index.
type starts struct {
	Started      int              `json:"started"`
	Finished     int              `json:"finished"`
	StartedTwice int              `json:"started-twice"`
	MaxRunning   int              `json:"max-running"`
	MaxWaiting   int              `json:"max-waiting"`
	ByKey        map[string][]int `json:"by-key"`
}

// readStarts fetches the counts of the worker stand-in. It fetches ByKey only if keys is
// true.
func (p *platform) readStarts(ctx context.Context, keys bool) (starts, error) {
	url := "http://" + p.controlAddress().String() + "/v1/starts"
	if keys {
		url += "?keys=1"
	}
	body, err := get(ctx, p.client, url)
	if err != nil {
		return starts{}, err
	}
	var s starts
	return s, json.Unmarshal(body, &s)
}

func (p *platform) send(ctx context.Context, method, url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		message, _ := io.ReadAll(resp.Body)
		return errors.Newf("%s %s: status %d: %s", method, url, resp.StatusCode, message)
	}
	return nil
}

func get(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("GET %s: status %d", url, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}
