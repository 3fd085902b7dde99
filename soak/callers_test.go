package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// submit submits a job to a random instance. While the outcome is unknown, because there
// is no answer or its status is 502 or 504, it submits the job again, up to three times
// in all. It returns the last status.
func (c *cluster) submit(id string, random *rand.Rand) int {
	body := `{"best_effort":true,"spec":"s","pipeline":[{"count":3,"cpu":1000,"mem_mb":1,"estimated_ms":120}]}`
	status := 0
	for n := range 3 {
		i := c.instances[random.IntN(len(c.instances))]
		timeout := callerTimeout
		if n == 0 && random.IntN(impatientCallers) == 0 {
			timeout = impatience
		}
		status = post("http://"+i.settings.CallerAddress.String()+"/p/"+id, body, timeout, callerTimeout)
		c.checker.mu.Lock()
		c.checker.answered[id] = append(c.checker.answered[id], status)
		c.checker.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return status
		}
		time.Sleep(resubmitAfter)
	}
	return status
}

// post posts a job and returns the status of the answer, or 0 if there is no answer within
// timeout. The request says that the caller waits for deadline.
func post(url, body string, timeout, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "photos.example"
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	// Only the status matters.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
