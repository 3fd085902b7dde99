package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A store is a stand-in for the platform's metadata store: keyed topics with one
// partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// topic is a log of encoded records, of which none expires.
type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns the topic with name. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

// put appends a record with a key and a value. An empty value deletes the key.
func (s *store) put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(name, append(record, value...))
}

// append appends an encoded record and returns its offset.
func (s *store) append(name string, record []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, record)
	key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = keyed{value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	case "/log-read":
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || len(body) != 4+int(binary.BigEndian.Uint32(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset := s.append(r.URL.Query().Get("topic"), body[4:])
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + 1})
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("depends_on")
	items := []map[string]any{}
	for key, k := range t.newest {
		if key > after {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a]["key"].(string) < items[b]["key"].(string) })
	more := len(items) > 500
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), 500)], "has_more": more, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A read without wait_ms does not wait.
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, records := s.changed, t.records
		s.mu.Unlock()
		if from < len(records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			// A write fails only if the reader has gone.
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON answers with a status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has gone.
	_, _ = w.Write(body)
}
