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

// MaxKeys is the largest number of keys that one request may ask for.
const MaxKeys = 1000

// firstBodyBytes bounds the memory that a request takes before its body comes.
const firstBodyBytes = 256 << 10

// A Submitter takes jobs from the Handler. It is safe for concurrent use.
type Submitter interface {
	// Submit runs job, or finds it by its key, and waits for its answer. If
	// the job's key is zero, the answer holds the one given to it. An error
	// means that nothing is known of the job; a *KeyError, that the key is
	// not to be used.
	Submit(ctx context.Context, job Job) (Answer, error)
	// IssueKeys returns n new keys.
	IssueKeys(n int) ([]Key, error)
	// Cancel cancels the job of key, if it is running. A *KeyError means
	// that the key is not to be used.
	Cancel(ctx context.Context, key Key) error
}

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	// Submitter takes the jobs.
	Submitter Submitter
	// UseWithin is the time within which the Submitter's keys have to be
	// used first.
	UseWithin time.Duration
	// WriteTimeout bounds the time for which a caller may take to read a
	// response. Zero means no bound.
	WriteTimeout time.Duration
}

// NewHandler returns the HTTP protocol for callers:
//
//	POST /v1/keys?count=n   issues n keys, 1 if count is missing
//	POST /v1/jobs           submits a job and answers it
//	DELETE /v1/jobs/{key}   cancels a job
//
// A caller's connection may break without harm to its job.
func NewHandler(cfg HandlerConfig) http.Handler {
	h := handler{cfg: cfg}
	router := chi.NewRouter()
	router.Post("/v1/keys", h.issue)
	router.Post("/v1/jobs", h.submit)
	router.Delete("/v1/jobs/{key}", h.cancel)
	return router
}

type handler struct {
	cfg HandlerConfig
}

// issue answers with as many keys as asked for.
func (h handler) issue(w http.ResponseWriter, r *http.Request) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxKeys {
			h.fail(w, badRequest(FaultKeyCount, fmt.Sprintf("count is not in [1, %d]", MaxKeys)))
			return
		}
		count = n
	}
	keys, err := h.cfg.Submitter.IssueKeys(count)
	if err != nil {
		h.fail(w, err)
		return
	}
	h.write(w, http.StatusOK, struct {
		Keys      []Key  `json:"keys"`
		UseWithin string `json:"use-within"`
	}{keys, h.cfg.UseWithin.String()})
}

// submit answers a job.
func (h handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		h.fail(w, err)
		return
	}
	job, err := decodeJob(body)
	if err != nil {
		h.fail(w, err)
		return
	}
	answer, err := h.cfg.Submitter.Submit(context.WithoutCancel(r.Context()), job)
	if err != nil {
		h.fail(w, err)
		return
	}
	if keys, err := h.cfg.Submitter.IssueKeys(1); err == nil && len(keys) == 1 {
		w.Header().Set(NextKeyHeader, keys[0].String())
	}
	if answer.RetryAfter > 0 {
		w.Header().Set(retryAfterHeader, retryAfterSeconds(answer.RetryAfter))
	}
	h.write(w, answerCode(answer), newAnswerBody(answer))
}

// cancel cancels a job and answers with no content.
func (h handler) cancel(w http.ResponseWriter, r *http.Request) {
	key, err := ParseKey(chi.URLParam(r, "key"))
	if err != nil {
		h.fail(w, err)
		return
	}
	if err := h.cfg.Submitter.Cancel(context.WithoutCancel(r.Context()), key); err != nil {
		h.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// fail answers with an error: 400 and the like for the caller's, 500 for ours.
func (h handler) fail(w http.ResponseWriter, err error) {
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
	h.write(w, requestErr.Code, errorBody{Error: requestErr.Fault, Message: requestErr.Detail})
}

// write sends a whole response with its length, so that a caller can tell a
// broken one.
func (h handler) write(w http.ResponseWriter, code int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if h.cfg.WriteTimeout > 0 {
		// A ResponseWriter without deadlines has no slow reader.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	}
	w.Header().Set(contentType, jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(code)
	_, _ = w.Write(text)
}

// readBody returns the body of a request. It returns a *RequestError if the
// body is too large or incomplete.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBodyBytes {
		return nil, bodyTooLarge()
	}
	var body bytes.Buffer
	body.Grow(int(min(max(r.ContentLength, 0), firstBodyBytes)) + bytes.MinRead)
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
