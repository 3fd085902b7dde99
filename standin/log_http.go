package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// Limits of the log's requests.
const (
	// maxRecordBytes is the largest size of a record in bytes.
	maxRecordBytes = 16 << 20
	// maxWait is the longest time that a read waits.
	maxWait = time.Minute
	// defaultLimit is the number of records in an answer unless asked.
	defaultLimit = 1000
)

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.admit(w) {
		return
	}
	if !l.takeAppend() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	time.Sleep(l.cfg.AppendDelay)
	offset, lost := l.write(chi.URLParam(r, "stream"), body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, wait, limit, err := readQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.admit(w) {
		return
	}
	name := chi.URLParam(r, "stream")
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changed, ready := l.ready(name, from)
		if ready {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		break
	}
	l.writePage(w, name, from, limit)
}

// readQuery parses the query of a read. From defaults to 1, wait to zero.
func readQuery(r *http.Request) (from uint64, wait time.Duration, limit int, err error) {
	from, limit = 1, defaultLimit
	q := r.URL.Query()
	if s := q.Get("from"); s != "" {
		if from, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, 0, err
		}
	}
	if s := q.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			return 0, 0, 0, err
		}
	}
	if s := q.Get("limit"); s != "" {
		if limit, err = strconv.Atoi(s); err != nil {
			return 0, 0, 0, err
		}
	}
	return from, min(wait, maxWait), min(max(limit, 1), defaultLimit), nil
}

// ready reports whether a read from the offset from is to be answered, and
// returns the channel that is closed when that may change.
func (l *Log) ready(name string, from uint64) (changed <-chan struct{}, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	ready = l.faults.Down || from < s.next()
	return s.changed, ready
}

// writePage answers a read with at most limit records.
func (l *Log) writePage(w http.ResponseWriter, name string, from uint64, limit int) {
	type wireRecord struct {
		Offset uint64 `json:"offset"`
		Body   []byte `json:"body"`
	}
	l.mu.Lock()
	if l.faults.Down {
		l.mu.Unlock()
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return
	}
	s := l.stream(name)
	first, next := s.first, s.next()
	offset, records := s.page(from, limit)
	l.mu.Unlock()
	wire := make([]wireRecord, len(records))
	for i, r := range records {
		wire[i] = wireRecord{Offset: offset + uint64(i), Body: r.body}
	}
	writeJSON(w, struct {
		First   uint64       `json:"first"`
		Next    uint64       `json:"next"`
		Records []wireRecord `json:"records"`
	}{first, next, wire})
}

func (l *Log) handleFaults(w http.ResponseWriter, r *http.Request) {
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
	l.SetFaults(LogFaults{
		Down:         body.Down,
		Delay:        delay,
		LoseAnswers:  body.LoseAnswers,
		DropRequests: body.DropRequests,
	})
	w.WriteHeader(http.StatusNoContent)
}

// parseDuration parses s, of which "" is zero.
func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

// readJSON decodes the body of r into v. If it can't, it answers 400 and
// returns false.
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
	_, _ = w.Write(body) // A client that has gone needs no answer.
}
