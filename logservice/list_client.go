package logservice

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/peer"
	"github.com/amaranthwell/amaranthwell/platform"
)

const (
	// AnnounceEvery is the time between an entry instance's announcements.
	AnnounceEvery = 3 * time.Second
	// memberSilence is the time without an announcement after which an entry
	// instance is off the list.
	memberSilence = 5 * AnnounceEvery
)

// ListConfig configures a ListClient.
type ListConfig struct {
	// URL is the base URL of the store, such as "http://127.0.0.1:7100".
	URL string
	// Timeout is the time within which the store must answer. Zero means
	// DefaultTimeout.
	Timeout time.Duration
}

// A ListClient makes the list of instances from the platform's store: backend
// servers are listed there by the platform, entry instances announce themselves.
//
// A ListClient is not safe for concurrent use.
type ListClient struct {
	cfg   ListConfig
	store *platform.Store
	// announced is the last announcement seen of each entry instance.
	announced map[string]announcement
}

// announcement is a record of an entry instance and when it was first seen.
type announcement struct {
	offset int64
	seen   time.Time
}

// NewListClient returns a ListClient, which sends nothing yet. It returns a
// *ConfigError if cfg is out of range.
func NewListClient(cfg ListConfig) (*ListClient, error) {
	store, err := newStore(cfg.URL)
	if err != nil {
		return nil, err
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &ListClient{cfg: cfg, store: store, announced: make(map[string]announcement)}, nil
}

// newStore returns a client of the store at a base URL.
func newStore(base string) (*platform.Store, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &ConfigError{Field: "url", Err: err}
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, &ConfigError{Field: "url", Err: errors.Newf("%q is no http URL", base)}
	}
	return platform.NewStore(u.Host), nil
}

// Announce puts an entry instance on the list, or renews its entry there.
func (c *ListClient) Announce(ctx context.Context, instance peer.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	member := platform.Member{Address: instance.Address, Zone: instance.Zone, Leaving: instance.Leaving}
	return c.store.AppendMember(ctx, member)
}

// List returns the list at now, which lags behind what is the case. An entry that
// cannot be read is left out, and so is an entry instance that has announced
// nothing for long. It returns a *httpjson.StatusError if the store refuses.
func (c *ListClient) List(ctx context.Context, now time.Time) (peer.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	servers, _, err := c.store.Newest(ctx, platform.WorkerTopic)
	if err != nil {
		return peer.InstanceList{}, errors.Wrap(err, "list backend servers")
	}
	members, _, err := c.store.Newest(ctx, platform.MemberTopic)
	if err != nil {
		return peer.InstanceList{}, errors.Wrap(err, "list entry instances")
	}
	var list peer.InstanceList
	for _, r := range servers {
		if w, err := platform.DecodeWorker(r.Key, r.Value); err == nil {
			list.Instances = append(list.Instances, peer.Instance{
				Address: w.Address, Kind: peer.BackendServer, Zone: w.Zone, Leaving: w.Leaving,
			})
		}
	}
	for _, r := range members {
		m, err := platform.DecodeMember(r)
		if err != nil || c.silent(now, r) {
			continue
		}
		list.Instances = append(list.Instances, peer.Instance{
			Address: m.Address, Kind: peer.EntryInstance, Zone: m.Zone, Leaving: m.Leaving,
		})
	}
	return list, nil
}

// silent reports whether the entry instance of a record has announced nothing for
// long.
func (c *ListClient) silent(now time.Time, r platform.Record) bool {
	last, known := c.announced[r.Key]
	if !known || last.offset != r.Offset {
		last = announcement{offset: r.Offset, seen: now}
		c.announced[r.Key] = last
	}
	return now.Sub(last.seen) > memberSilence
}

// Close drops the connections.
func (c *ListClient) Close() error {
	c.store.Close()
	return nil
}
