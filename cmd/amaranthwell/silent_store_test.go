package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
)

// configurationDeadline is the time after a fault of the connections within which a new
// configuration must be in force: 3 s until an instance counts as connected again, and
// 2 s for the configuration, by the bounds of the platform's deployments.
const configurationDeadline = 5 * time.Second

// routeStatus returns the status of the answer to a request for the number of waiting
// jobs of a route, which is 404 if the instance knows no such route.
func routeStatus(node platform.Node, prefix string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+node.CallerAddress.String()+prefix, http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Host = "photos.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against instances that refuse requests by an old configuration, because the
// connections to the store on which they wait for the next one have gone silent.
func TestConfigurationArrivesWhenStoreConnectionsGoSilent(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	p.store.SilenceConnections()
	p.store.Put(platform.OperatorTopic, platform.ConfigurationKey, []byte(`{"version":2,"routes":[
		{"name":"retouches","host":"photos.example","path_prefix":"/r/","service":"editor","max_attempts":2,
		"timeout_ms":3000,"stretch_factor":5,"target_latency_ms":2000}],"limits":{"max_body_bytes":100000}}`))
	deadline := time.Now().Add(configurationDeadline)
	for _, node := range p.nodes {
		for {
			status, err := routeStatus(node, "/r/")
			is.NoErr(err)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s still answers %d for the new route", node.Name, status)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
