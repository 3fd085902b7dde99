package standin

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// appendTo appends a record to a topic and returns the status.
func appendTo(s *Store, topic, body string) int {
	record := string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body
	return request(s, http.MethodPost, "/log-append?part=0&topic="+topic, record).Code
}

// read reads the records of a topic from the offset from. It returns the answer as
// "FIRST-END: BODIES", or the status and the body of an answer whose status is not 200.
func read(s *Store, topic string, from int) string {
	rec := request(s, http.MethodGet, fmt.Sprintf("/log-read?part=0&topic=%s&from=%d", topic, from), "")
	if rec.Code != http.StatusOK {
		return fmt.Sprint(rec.Code, " ", strings.TrimSpace(rec.Body.String()))
	}
	body := rec.Body.Bytes()
	out := fmt.Sprintf("%d-%d:", binary.BigEndian.Uint64(body[8:]), binary.BigEndian.Uint64(body))
	for body = body[16:]; len(body) > 0; {
		size := binary.BigEndian.Uint32(body)
		out += " " + string(body[lengthPrefixBytes:lengthPrefixBytes+size])
		body = body[lengthPrefixBytes+size:]
	}
	return out
}

func TestStoreRefusesAppendsOverLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := NewStore(StoreConfig{AppendsPerSecond: 2, Now: func() time.Time { return now }})
	write := func() int { return appendTo(s, "s", "x") }
	is.Equal([]int{write(), write(), write()}, []int{200, 200, 429})
	now = now.Add(time.Second)
	is.Equal(write(), 200)
}

func TestStoreDropsRecordsAfterRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := NewStore(StoreConfig{Retention: time.Minute, Now: func() time.Time { return now }})
	appendTo(s, "s", "a")
	now = now.Add(time.Second)
	appendTo(s, "s", "b")
	is.Equal(read(s, "s", 1), "0-2: b")
	now = now.Add(time.Minute)
	is.Equal(read(s, "s", 0), `410 {"first":1}`)
	is.Equal(read(s, "s", 1), "1-2: b")
	now = now.Add(time.Second)
	is.Equal(read(s, "s", 1), `410 {"first":2}`)
	is.Equal(read(s, "s", 2), "2-2:")
}

func TestStoreKeepsNewestRecordOfKeyAfterRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := NewStore(StoreConfig{Retention: time.Minute, Now: func() time.Time { return now }})
	newest := func() string {
		return strings.TrimSpace(request(s, http.MethodGet, "/log-newest?part=0&topic=keyed.servers", "").Body.String())
	}
	is.Equal(request(s, http.MethodPut, "/v1/records/keyed.servers/w-1", "a").Code, http.StatusNoContent)
	is.Equal(request(s, http.MethodPut, "/v1/records/keyed.servers/w-1", "b").Code, http.StatusNoContent)
	now = now.Add(time.Hour)
	is.Equal(newest(), `{"end":2,"has_more":false,"items":[{"key":"w-1","value":"Yg==","offset":1}]}`)
	is.Equal(request(s, http.MethodDelete, "/v1/records/keyed.servers/w-1", "").Code, http.StatusNoContent)
	is.Equal(newest(), `{"end":3,"has_more":false,"items":[]}`)
}

func TestStoreFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreConfig{})
	body := `{"down":true,"delay":"2s","lose-answers":3,"drop-requests":4}`
	is.Equal(request(s, http.MethodPut, "/v1/faults", body).Code, http.StatusNoContent)
	is.Equal(s.Faults(), StoreFaults{Down: true, Delay: 2 * time.Second, LoseAnswers: 3, DropRequests: 4})
}
