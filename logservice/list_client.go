package logservice

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/httpjson"
)

// ListConfig configures a ListClient.
type ListConfig struct {
	// URL is the base URL of the list service, such as
	// "http://127.0.0.1:7200".
	URL string
	// Timeout is the time within which the list must answer. Zero means
	// DefaultTimeout.
	Timeout time.Duration
}

// A ListClient reads the platform's list of instances. It is safe for
// concurrent use.
type ListClient struct {
	cfg    ListConfig
	client *http.Client
}

// NewListClient returns a ListClient, which sends nothing yet. It returns a
// *ConfigError if cfg is out of range.
func NewListClient(cfg ListConfig) (*ListClient, error) {
	base, err := parseBase(cfg.URL)
	if err != nil {
		return nil, err
	}
	cfg.URL = base
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &ListClient{cfg: cfg, client: &http.Client{Transport: newTransport()}}, nil
}

// List returns the platform's list, which lags behind what is the case. An
// instance of an unknown kind is left out. It returns a *httpjson.StatusError if the
// list service refuses.
func (c *ListClient) List(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.URL+"/v1/instances", http.NoBody)
	if err != nil {
		return List{}, err
	}
	var answer struct {
		Instances []struct {
			Address netip.AddrPort `json:"address"`
			Kind    Kind           `json:"kind"`
			Zone    string         `json:"zone"`
			Leaving bool           `json:"leaving"`
		} `json:"instances"`
	}
	if err := httpjson.Do(c.client, req, &answer); err != nil {
		return List{}, errors.Wrap(err, "list instances")
	}
	var list List
	for _, in := range answer.Instances {
		if in.Kind == EntryInstance || in.Kind == BackendServer {
			list.Instances = append(list.Instances, Instance(in))
		}
	}
	return list, nil
}

// Close drops the connections.
func (c *ListClient) Close() error {
	c.client.CloseIdleConnections()
	return nil
}
