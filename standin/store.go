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
	// Retention is the time for which records are kept, but for the newest of
	// each key of a keyed topic. Zero keeps them for good.
	Retention time.Duration
	// AppendDelay is the time that an append takes.
	AppendDelay time.Duration
	// AppendsPerSecond is the number of appends taken in each second, over
	// which they are refused with status 429. Zero sets no limit.
	AppendsPerSecond int
	// Now returns the present time. Nil means time.Now.
	Now func() time.Time
}

// StoreFaults are the faults of a Store. The zero value has none.
type StoreFaults struct {
	// Down refuses every request with status 503.
	Down bool
	// Delay is added before each request takes effect.
	Delay time.Duration
	// LoseAnswers is the number of coming appends that take effect but
	// whose connection is dropped without an answer.
	LoseAnswers int
	// DropRequests is the number of coming requests, appends and reads
	// alike, whose connection is dropped without an effect. It goes before
	// LoseAnswers.
	DropRequests int
}

// A Store is a stand-in for the platform's metadata store: topics of one
// partition each, in memory. It is an http.Handler and safe for concurrent use.
//
// Beside the store's own calls it serves the tests' ones: PUT and DELETE of
// /v1/records/TOPIC/KEY, and PUT of /v1/faults.
type Store struct {
	cfg    StoreConfig
	router chi.Router

	mu     sync.Mutex
	topics map[string]*topic
	faults StoreFaults
	grown  chan struct{}
	// second and appends count the appends of the present second.
	second  int64
	appends int
}

// topic is one partition of records.
type topic struct {
	first   int64
	records []record
	// newest holds the newest record of each key, and is nil for a topic that
	// is not keyed.
	newest map[string]newestRecord
}

type record struct {
	written time.Time
	body    []byte
}

type newestRecord struct {
	value  []byte
	offset int64
}

// keyedPrefix begins the names of topics that keep the newest record of each key.
const keyedPrefix = "keyed."

// NewStore returns a Store with no records and no faults.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Store{cfg: cfg, topics: make(map[string]*topic), grown: make(chan struct{})}
	s.router = chi.NewRouter()
	s.router.Get("/log-newest", s.admit(s.serveNewest))
	s.router.Get("/log-read", s.admit(s.serveRead))
	s.router.Post("/log-append", s.admit(s.serveAppend))
	s.router.Put("/v1/records/{topic}/{key}", s.servePut)
	s.router.Delete("/v1/records/{topic}/{key}", s.servePut)
	s.router.Put("/v1/faults", s.serveFaults)
	return s
}

// ServeHTTP answers one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults of s. Reads that wait look at them at once.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the faults of s, with what is left of those that are counted.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) { s.SetFaults(StoreFaults{Down: down}) }

// Put adds a record of key to a keyed topic. A nil value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	body := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(body, value...))
}

// Expire forgets the records of a topic before the offset first, but for the
// newest record of each key.
func (s *Store) Expire(name string, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.drop(int(min(first-t.first, int64(len(t.records)))))
}

// End returns the offset that the next record of a topic will have.
func (s *Store) End(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

// topic returns the topic with its expired records forgotten; s.mu is held.
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

// end returns the offset of the next record.
func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// drop forgets the oldest n records.
func (t *topic) drop(n int) {
	if n > 0 {
		t.records = t.records[n:]
		t.first += int64(n)
	}
}

// dropBefore forgets the records written before limit.
func (t *topic) dropBefore(limit time.Time) {
	n := 0
	for n < len(t.records) && t.records[n].written.Before(limit) {
		n++
	}
	t.drop(n)
}

// add appends a record, wakes the readers and returns the record's offset; s.mu
// is held.
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

// wake ends the wait of every reader; s.mu is held.
func (s *Store) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}
