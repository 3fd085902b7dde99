package standin

import (
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// A MetaStore is a stand-in for the platform's metadata store: keyed topics of
// one partition each, in memory. It is safe for concurrent use.
type MetaStore struct {
	mu     sync.Mutex
	topics map[string]*keyedTopic
	down   bool
	grown  chan struct{}
}

// keyedTopic is a topic that keeps the newest record of each key.
type keyedTopic struct {
	first   int64
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int64
}

// NewMetaStore returns an empty store.
func NewMetaStore() *MetaStore {
	return &MetaStore{topics: make(map[string]*keyedTopic), grown: make(chan struct{})}
}

// SetDown makes the store refuse all calls, or serve again.
func (s *MetaStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds a record of key to topic. A nil value drops the key.
func (s *MetaStore) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(record, value...))
}

// Compact drops the history of topic, but for the newest record of each key.
func (s *MetaStore) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *MetaStore) topic(name string) *keyedTopic {
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{newest: make(map[string]newestRecord)}
		s.topics[name] = t
	}
	return t
}

// add appends a record, and returns its offset.
func (s *MetaStore) add(topic string, record []byte) int64 {
	t := s.topic(topic)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	key, value := record[1:1+int(record[0])], record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, string(key))
	} else {
		t.newest[string(key)] = newestRecord{value: value, offset: offset}
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// ServeHTTP serves the calls of the store.
func (s *MetaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	router := chi.NewRouter()
	router.Get("/log-newest", s.serveNewest)
	router.Get("/log-read", s.serveRead)
	router.Post("/log-append", s.serveAppend)
	router.ServeHTTP(w, r)
}

// maxNewest is the number of records in one page.
const maxNewest = 500

func (s *MetaStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("depends_on")
	items := []item{}
	for key, n := range t.newest {
		if key > after {
			items = append(items, item{key, n.value, n.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxNewest
	items = items[:min(len(items), maxNewest)]
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end": t.first + int64(len(t.records))})
}

func (s *MetaStore) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		t, grown := s.topic(query.Get("topic")), s.grown
		end := t.first + int64(len(t.records))
		if from < t.first {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"first": t.first})
			return
		}
		if from < end || expired {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, uint64(t.first))
			for _, record := range t.records[from-t.first:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *MetaStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || len(body) != 4+int(binary.BigEndian.Uint32(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.add(r.URL.Query().Get("topic"), body[4:])
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}
