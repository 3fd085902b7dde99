package standin

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Retention is the time for which records are kept. The newest record of
	// each key of a keyed topic is kept without limit. Zero keeps all records.
	Retention time.Duration
	// AppendDelay is how long an append takes.
	AppendDelay time.Duration
	// AppendsPerSecond is the largest number of appends accepted in each second;
	// more are refused with status 429. Zero sets no limit.
	AppendsPerSecond int
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// StoreFaults are the faults of a Store. They apply to reads and appends, not to
// the calls that tests use to change the store. The zero value has none.
type StoreFaults struct {
	// Down makes the store refuse every request with status 503, even reads that
	// are already waiting for a record.
	Down bool
	// Delay is added before each request takes effect.
	Delay time.Duration
	// LoseAnswers is how many of the next appends take effect but have their
	// connection dropped without an answer.
	LoseAnswers int
	// RefuseAppends makes the store refuse appends with status 503.
	RefuseAppends bool
	// DropRequests is how many of the next requests, whether appends or reads, have
	// their connection dropped and no effect. They do not reduce LoseAnswers.
	DropRequests int
}

// A Store is a stand-in for the platform's metadata store: topics of one
// partition each, in memory. It is an http.Handler and safe for concurrent use.
//
// Beside the platform's calls it serves calls for tests: PUT and DELETE of
// /v1/records/TOPIC/KEY, and PUT of /v1/faults.
type Store struct {
	cfg    StoreConfig
	router chi.Router

	mu     sync.Mutex
	topics map[string]*topic
	faults StoreFaults
	// connections holds the remote addresses of all requests so far. The value is true
	// if the connection is silent.
	connections map[string]bool
	// changed is closed and replaced when a record is added or the faults change.
	changed chan struct{}
	// appends is the number of appends that were accepted in the second whose Unix
	// time is second.
	second  int64
	appends int
}

// topic holds the records of one topic, all in one partition.
type topic struct {
	// first is the offset of the oldest record kept.
	first   int64
	records []record
	// newest holds the newest record of each key. It is nil if the topic is not
	// keyed.
	newest map[string]newestRecord
}

// record is one record of a topic and the time at which it was written.
type record struct {
	written time.Time
	body    []byte
}

// newestRecord is the value and the offset of the newest record of a key.
type newestRecord struct {
	value  []byte
	offset int64
}

// keyedPrefix is the prefix of the names of keyed topics, which keep the newest
// record of each key.
const keyedPrefix = "keyed."

// NewStore returns a Store with no records and no faults.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg, topics: make(map[string]*topic), connections: make(map[string]bool), changed: make(chan struct{})}
	s.router = chi.NewRouter()
	s.router.Get("/log-newest", s.injectFaults(s.serveNewest))
	s.router.Get("/log-read", s.injectFaults(s.serveRead))
	s.router.Post("/log-append", s.injectFaults(s.serveAppend))
	s.router.Put("/v1/records/{topic}/{key}", s.servePut)
	s.router.Delete("/v1/records/{topic}/{key}", s.servePut)
	s.router.Put("/v1/faults", s.serveFaults)
	return s
}

// ServeHTTP answers one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults of s. Down also applies at once to reads that are
// waiting for a record.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the faults of s, with the remaining counts of LoseAnswers and
// DropRequests.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SilenceConnections makes all connections on which a request has arrived silent: they
// stay open, and no request on them, not even a read that is waiting for a record, has an
// effect or gets an answer. New connections work.
func (s *Store) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.connections {
		s.connections[address] = true
	}
}

// SetDown replaces the faults of s: if down is true, s refuses all requests; otherwise
// it has no faults.
func (s *Store) SetDown(down bool) { s.SetFaults(StoreFaults{Down: down}) }

// Put adds a record with the given key and value to the keyed topic name. An empty value
// deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	body := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(body, value...))
}

// Expire drops the records of a topic whose offsets are less than first. The newest
// record of each key can still be read from /log-newest.
func (s *Store) Expire(name string, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.dropOldest(int(min(first-t.first, int64(len(t.records)))))
}

// End returns the offset of the next record to be added to a topic.
func (s *Store) End(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

// topic drops the expired records of the topic name and returns the topic. It creates
// the topic if there is none. The caller holds s.mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		if strings.HasPrefix(name, keyedPrefix) {
			t.newest = make(map[string]newestRecord)
		}
		s.topics[name] = t
	}
	if s.cfg.Retention > 0 {
		t.dropBefore(s.cfg.Now().Add(-s.cfg.Retention))
	}
	return t
}

// end returns the offset of the next record to be added.
func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// dropOldest drops the oldest n records.
func (t *topic) dropOldest(n int) {
	if n > 0 {
		t.records = t.records[n:]
		t.first += int64(n)
	}
}

// dropBefore drops the records written before limit.
func (t *topic) dropBefore(limit time.Time) {
	n := 0
	for n < len(t.records) && t.records[n].written.Before(limit) {
		n++
	}
	t.dropOldest(n)
}

// add appends a record to the topic name, wakes the waiting reads and returns the
// record's offset. The caller holds s.mu.
func (s *Store) add(name string, body []byte) int64 {
	t := s.topic(name)
	offset := t.end()
	t.records = append(t.records, record{written: s.cfg.Now(), body: body})
	if t.newest != nil {
		key, value := body[1:1+int(body[0])], body[1+int(body[0]):]
		if len(value) == 0 {
			delete(t.newest, string(key))
		} else {
			t.newest[string(key)] = newestRecord{value: value, offset: offset}
		}
	}
	s.wake()
	return offset
}

// wake makes every waiting read check the topic again. The caller holds s.mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
