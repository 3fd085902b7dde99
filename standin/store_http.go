package standin

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	// newestPageSize is the largest number of records in one answer of /log-newest.
	newestPageSize = 500
	// maxReadBytes limits the size of an answer to a read: the record with which the
	// answer exceeds it is the last one in the answer.
	maxReadBytes = 1 << 20
	// lengthPrefixBytes is the size of the length before each record.
	lengthPrefixBytes = 4
)

// injectFaults returns a handler that applies the faults of s to a request before next
// handles it: the handler drops the connection, waits for the delay or answers 503.
func (s *Store) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.connections[r.RemoteAddr]
		s.connections[r.RemoteAddr] = silent
		faults := s.faults
		if faults.DropRequests > 0 {
			s.faults.DropRequests--
		}
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if faults.DropRequests > 0 {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(faults.Delay)
		if faults.Down {
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	// In the platform's protocol this parameter holds the last key of the previous
	// page.
	after := r.URL.Query().Get("depends_on")
	items := []item{}
	for key, n := range t.newest {
		if key > after {
			items = append(items, item{key, n.value, n.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > newestPageSize
	items = items[:min(len(items), newestPageSize)]
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end": t.end()})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		// A read without wait_ms does not wait.
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		changed, answered := s.tryRead(w, r, from, timedOut)
		if answered {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// tryRead answers a read if there is a record at the offset from, if that record has
// been dropped, if the store is down or if timedOut is true because the time to wait is
// over. Otherwise it returns the channel that is closed when the read is to be tried
// again, which never happens on a silent connection.
func (s *Store) tryRead(w http.ResponseWriter, r *http.Request, from int64, timedOut bool) (changed <-chan struct{}, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	switch {
	case s.connections[r.RemoteAddr]:
		return nil, false
	case s.faults.Down:
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
	case from < t.first:
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]any{"first": t.first})
	case from < t.end() || timedOut:
		// Fails only if the client has disconnected.
		_, _ = w.Write(t.encode(from))
	default:
		return s.changed, false
	}
	return nil, true
}

// encode returns the answer to a read that begins at the offset from: the offset of the
// next record to be added, the offset of the oldest record, and then the records, each
// preceded by its length.
func (t *topic) encode(from int64) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, r := range t.records[min(from, t.end())-t.first:] {
		if len(body) > maxReadBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(r.body)))
		body = append(body, r.body...)
	}
	return body
}

// countAppend counts an append in the current second. It returns false, and does not
// count the append, if AppendsPerSecond is reached. The caller holds s.mu.
func (s *Store) countAppend() bool {
	if second := s.cfg.Now().Unix(); second != s.second {
		s.second, s.appends = second, 0
	}
	if s.cfg.AppendsPerSecond > 0 && s.appends >= s.cfg.AppendsPerSecond {
		return false
	}
	s.appends++
	return true
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < lengthPrefixBytes || len(body) != lengthPrefixBytes+int(binary.BigEndian.Uint32(body)) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.cfg.AppendDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RefuseAppends {
		http.Error(w, "appends are refused", http.StatusServiceUnavailable)
		return
	}
	if !s.countAppend() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset := s.add(r.URL.Query().Get("topic"), body[lengthPrefixBytes:])
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}

// servePut adds a record with the key in the path and the request's body as its value.
// With the method DELETE the record has no value, which deletes the key.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		value = nil
	}
	s.Put(chi.URLParam(r, "topic"), chi.URLParam(r, "key"), value)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Down         bool   `json:"down"`
		Delay        string `json:"delay"`
		LoseAnswers  int    `json:"lose-answers"`
		DropRequests int    `json:"drop-requests"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	delay, err := parseDuration(body.Delay)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(StoreFaults{Down: body.Down, Delay: delay, LoseAnswers: body.LoseAnswers, DropRequests: body.DropRequests})
	w.WriteHeader(http.StatusNoContent)
}

// parseDuration parses a duration; the empty string is zero.
func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

// readJSON decodes the body of r into v. On an error or an unknown field it answers
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers 200 with v.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Fails only if the client has disconnected.
	_, _ = w.Write(body)
}
