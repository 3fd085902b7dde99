package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Keys are fetched in batches of keyBatchSize. The rest of a batch older than keyMaxAge
// is discarded, so that few keys are used after the instance that issued them has ended.
// keyMaxAge is also the timeout of a fetch.
const (
	keyBatchSize = 64
	keyMaxAge    = time.Second
)

// A keySource supplies submission keys from one entry instance. It is safe for
// concurrent use.
type keySource struct {
	client *http.Client
	entry  netip.AddrPort

	mu sync.Mutex
	// keys holds the unused keys of the last batch, which was fetched at fetched.
	keys    []string
	fetched time.Time
}

// take returns an unused key. It fetches a new batch if none is left or the batch
// is too old.
func (s *keySource) take(ctx context.Context) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) == 0 || time.Since(s.fetched) > keyMaxAge {
		keys, err := fetchKeys(ctx, s.client, s.entry, keyBatchSize)
		if err != nil {
			return "", err
		}
		s.keys = keys
		s.fetched = time.Now()
	}
	key := s.keys[0]
	s.keys = s.keys[1:]
	return key, nil
}

func fetchKeys(ctx context.Context, client *http.Client, entry netip.AddrPort, count int) ([]string, error) {
	url := fmt.Sprintf("http://%s/v1/keys?count=%d", entry, count)
	ctx, cancel := context.WithTimeout(ctx, keyMaxAge)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Keys []string `json:"keys"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, errors.Wrapf(err, "decoding keys from %s (status %d)", entry, resp.StatusCode)
	}
	if len(body.Keys) == 0 {
		return nil, errors.Newf("%s returned no keys (status %d)", entry, resp.StatusCode)
	}
	return body.Keys, nil
}
