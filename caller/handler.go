package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// MaxKeys is the maximum number of keys that one request may ask for.
const MaxKeys = 1000

// maxInitialBodyBytes is the maximum buffer size allocated for a request from
// its Content-Length, before any of the body has arrived.
const maxInitialBodyBytes = 256 << 10

// A Submitter runs the jobs that the HTTP handler receives. It must be safe for
// concurrent use.
type Submitter interface {
	// Submit runs job, or finds the running or ended job with the same key,
	// and waits for the answer. If the job's key is zero, the answer contains
	// the key that was issued for the job. A *KeyError means that the key
	// cannot be used. Any other error means that it is unknown whether the
	// job runs.
	Submit(ctx context.Context, job Job) (Answer, error)
	// IssueKeys returns n new keys.
	IssueKeys(n int) ([]Key, error)
	// Cancel cancels the job that was submitted under key if it is running. A
	// *KeyError means that the key cannot be used.
	Cancel(ctx context.Context, key Key) error
}

// HandlerConfig configures the handler returned by NewHandler.
type HandlerConfig struct {
	// Submitter runs the jobs.
	Submitter Submitter
	// UseWithin is the age at which a key that the Submitter issued can no
	// longer be used for the first time.
	UseWithin time.Duration
	// WriteTimeout is the maximum time for writing a response to a slow
	// caller. Zero means no limit.
	WriteTimeout time.Duration
}

// NewHandler returns an HTTP handler for the protocol of callers:
//
//	POST /v1/keys?count=n   issues n keys, 1 if count is missing
//	POST /v1/jobs           submits a job and returns its answer
//	DELETE /v1/jobs/{key}   cancels a job
//
// A job that was submitted continues if its caller's connection breaks.
func NewHandler(cfg HandlerConfig) http.Handler {
	h := handler{cfg: cfg}
	router := chi.NewRouter()
	router.Post("/v1/keys", h.issueKeys)
	router.Post("/v1/jobs", h.submit)
	router.Delete("/v1/jobs/{key}", h.cancel)
	return router
}

type handler struct {
	cfg HandlerConfig
}

// issueKeys handles POST /v1/keys.
func (h handler) issueKeys(w http.ResponseWriter, r *http.Request) {
	count := 1
	if value := r.URL.Query().Get("count"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > MaxKeys {
			h.writeError(w, badRequest(FaultKeyCount, fmt.Sprintf("count is not in [1, %d]", MaxKeys)))
			return
		}
		count = n
	}
	keys, err := h.cfg.Submitter.IssueKeys(count)
	if err != nil {
		h.writeError(w, err)
		return
	}
	h.writeJSON(w, http.StatusOK, struct {
		Keys      []Key  `json:"keys"`
		UseWithin string `json:"use-within"`
	}{keys, h.cfg.UseWithin.String()})
}

// submit handles POST /v1/jobs.
func (h handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	job, err := decodeJob(body)
	if err != nil {
		h.writeError(w, err)
		return
	}
	answer, err := h.cfg.Submitter.Submit(context.WithoutCancel(r.Context()), job)
	if err != nil {
		h.writeError(w, err)
		return
	}
	if keys, err := h.cfg.Submitter.IssueKeys(1); err == nil && len(keys) == 1 {
		w.Header().Set(NextKeyHeader, keys[0].String())
	}
	if answer.RetryAfter > 0 {
		w.Header().Set(retryAfterHeader, retryAfterSeconds(answer.RetryAfter))
	}
	h.writeJSON(w, statusCode(answer), newAnswerBody(answer))
}

// cancel handles DELETE /v1/jobs/{key}. Its response has no content.
func (h handler) cancel(w http.ResponseWriter, r *http.Request) {
	key, err := ParseKey(chi.URLParam(r, "key"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	if err := h.cfg.Submitter.Cancel(context.WithoutCancel(r.Context()), key); err != nil {
		h.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeError sends err as an errorBody: with the status code of a
// *RequestError, 400 for a *KeyError, and 500 for any other error.
func (h handler) writeError(w http.ResponseWriter, err error) {
	var requestErr *RequestError
	var keyErr *KeyError
	switch {
	case errors.As(err, &requestErr):
	case errors.As(err, &keyErr):
		requestErr = badRequest(FaultMalformedKey, keyErr.Error())
	default:
		requestErr = badRequest(FaultInternal, err.Error())
		requestErr.Code = http.StatusInternalServerError
	}
	h.writeJSON(w, requestErr.Code, errorBody{Error: requestErr.Fault, Message: requestErr.Detail})
}

// writeJSON sends a response with its Content-Length, so that the caller can
// detect a truncated response.
func (h handler) writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if h.cfg.WriteTimeout > 0 {
		// The error is ignored, since a ResponseWriter that supports no
		// deadlines is not a connection to a caller.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	}
	w.Header().Set(contentTypeHeader, jsonContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

// readBody returns the body of a request. It returns a *RequestError if the
// body is too large or incomplete.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBodyBytes {
		return nil, bodyTooLarge()
	}
	var body bytes.Buffer
	body.Grow(int(min(max(r.ContentLength, 0), maxInitialBodyBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		return nil, badRequest(FaultIncompleteBody, err.Error())
	}
	return body.Bytes(), nil
}

func bodyTooLarge() *RequestError {
	return &RequestError{
		Code:   http.StatusRequestEntityTooLarge,
		Fault:  FaultBodyTooLarge,
		Detail: fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes),
	}
}
