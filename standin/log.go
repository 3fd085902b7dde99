package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// DefaultAppendDelay is the time that an append takes unless configured.
const DefaultAppendDelay = 5 * time.Millisecond

// LogConfig configures a Log.
type LogConfig struct {
	// Retention is the time for which records are kept. Zero keeps them
	// for good.
	Retention time.Duration
	// AppendDelay is the time that an append takes. Zero means
	// DefaultAppendDelay, and a negative value means none.
	AppendDelay time.Duration
	// AppendsPerSecond is the number of appends taken in each second, over
	// which they are refused with status 429. Zero sets no limit.
	AppendsPerSecond int
	// Now returns the present time. Nil means time.Now.
	Now func() time.Time
}

// LogFaults are the faults of a Log. The zero value has none.
type LogFaults struct {
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

// A Log is a stand-in for the platform's append-only log service. It is an
// http.Handler and safe for concurrent use.
type Log struct {
	cfg    LogConfig
	router chi.Router

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	// second and appends count the appends of the present second.
	second  int64
	appends int
}

// NewLog returns a Log with no records and no faults.
func NewLog(cfg LogConfig) *Log {
	if cfg.AppendDelay == 0 {
		cfg.AppendDelay = DefaultAppendDelay
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	l := &Log{cfg: cfg, streams: make(map[string]*stream)}
	l.router = chi.NewRouter()
	l.router.Post("/v1/streams/{stream}/records", l.handleAppend)
	l.router.Get("/v1/streams/{stream}/records", l.handleRead)
	l.router.Put("/v1/faults", l.handleFaults)
	return l
}

// ServeHTTP answers one request.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults of l. Reads that wait look at them at once.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.wake()
	}
}

// Faults returns the faults of l, with what is left of those that are counted.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Expire forgets the records of the stream before the offset first.
func (l *Log) Expire(stream string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(stream).expireTo(first)
}

// stream returns the stream with its expired records forgotten; l.mu is held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = newStream()
		l.streams[name] = s
	}
	if l.cfg.Retention > 0 {
		s.expireWritten(l.cfg.Now().Add(-l.cfg.Retention))
	}
	return s
}

// admit lets a request in: it waits for the delay, drops the connection or
// answers 503 as the faults say, and reports whether to go on.
func (l *Log) admit(w http.ResponseWriter) bool {
	l.mu.Lock()
	faults := l.faults
	if faults.DropRequests > 0 {
		l.faults.DropRequests--
	}
	l.mu.Unlock()
	if faults.DropRequests > 0 {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// takeAppend counts an append and reports whether the limit lets it through.
func (l *Log) takeAppend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.cfg.Now().Unix(); second != l.second {
		l.second, l.appends = second, 0
	}
	if l.cfg.AppendsPerSecond > 0 && l.appends >= l.cfg.AppendsPerSecond {
		return false
	}
	l.appends++
	return true
}

// write appends body and reports whether the answer is to be lost.
func (l *Log) write(name string, body []byte) (offset uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset = l.stream(name).append(l.cfg.Now(), body)
	lost = l.faults.LoseAnswers > 0
	if lost {
		l.faults.LoseAnswers--
	}
	return offset, lost
}
