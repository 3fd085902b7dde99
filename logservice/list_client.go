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
	// announcementTimeout is the time without a new announcement after which
	// an entry instance is no longer listed.
	announcementTimeout = 5 * AnnounceEvery
)

// ListConfig configures a ListClient.
type ListConfig struct {
	// URL is the base URL of the store, such as "http://127.0.0.1:7100".
	URL string
	// Timeout is the time within which a call must end. Zero means
	// DefaultTimeout. Each of the call's requests is also bounded by the
	// timeout of platform.Store.
	Timeout time.Duration
}

// A ListClient reads the list of instances from the platform's store. The platform
// lists the backend servers there, and entry instances announce themselves.
//
// A ListClient is not safe for concurrent use.
type ListClient struct {
	cfg   ListConfig
	store *platform.Store
	// announced holds the last announcement of each entry instance. The key is the
	// key of the instance's record, which is its address.
	announced map[string]announcement
}

// announcement is the offset of an entry instance's record and the time at which
// this client first read it.
type announcement struct {
	offset      int64
	firstReadAt time.Time
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

// newStore returns a client of the store whose base URL is base. It returns a
// *ConfigError if base is not an http URL.
func newStore(base string) (*platform.Store, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, &ConfigError{Field: "url", Err: err}
	}
	if u.Scheme != "http" || u.Host == "" {
		return nil, &ConfigError{Field: "url", Err: errors.Newf("%q is not an http URL", base)}
	}
	return platform.NewStore(u.Host), nil
}

// Announce adds an entry instance to the list or renews its entry.
func (c *ListClient) Announce(ctx context.Context, instance peer.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	member := platform.Member{Address: instance.Address, Zone: instance.Zone, Leaving: instance.Leaving}
	return c.store.AppendMember(ctx, member)
}

// List reads the list of instances; now is the current time. The list lags behind the
// actual state of the instances. It omits entries that cannot be decoded, and entry
// instances whose last announcement was first read more than announcementTimeout ago.
// List returns a *httpjson.StatusError if the store refuses a read.
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
		if err != nil || c.isStale(now, r) {
			continue
		}
		list.Instances = append(list.Instances, peer.Instance{
			Address: m.Address, Kind: peer.EntryInstance, Zone: m.Zone, Leaving: m.Leaving,
		})
	}
	return list, nil
}

// isStale reports whether this client first read r, a record of an entry instance, more
// than announcementTimeout before now, and notes the first read of a new record. Only
// this client's clock is used, so the clocks of other machines do not matter.
func (c *ListClient) isStale(now time.Time, r platform.Record) bool {
	last, known := c.announced[r.Key]
	if !known || last.offset != r.Offset {
		last = announcement{offset: r.Offset, firstReadAt: now}
		c.announced[r.Key] = last
	}
	return now.Sub(last.firstReadAt) > announcementTimeout
}

// Close closes the connections. Its error is always nil.
func (c *ListClient) Close() error {
	c.store.Close()
	return nil
}
