package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is the time that an append takes.
const appendTime = 4 * time.Millisecond

// store is a stand-in for the platform's metadata store: topics of one partition, in memory.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// accepted, unless it is nil, is called with each record of a keyed topic that was
	// accepted, and with the lock held.
	accepted func(topic, key string, value []byte)
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int64
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns a topic. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

// put writes a record of a keyed topic. An empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.append(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) append(name string, body []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, body)
	if strings.HasPrefix(name, "keyed.") {
		key, value := string(body[1:1+int(body[0])]), body[1+int(body[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value, offset}
		}
		if s.accepted != nil {
			s.accepted(name, key, value)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("depends_on"))
	case "GET /log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, r, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "POST /log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) < 4 || len(body) != 4+int(binary.BigEndian.Uint32(body)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(appendTime)
		offset := s.append(q.Get("topic"), body[4:])
		writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + 1})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, k := range t.newest {
		if key > after {
			items = append(items, item{key, k.value, k.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	items = items[:min(len(items), 500)]
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, from int64, wait time.Duration) {
	over := time.After(wait)
	for timedOut := false; ; {
		s.mu.Lock()
		t := s.topic(name)
		if from < int64(len(t.records)) || timedOut {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[min(from, int64(len(t.records))):] {
				if len(body) > 1<<20 {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
