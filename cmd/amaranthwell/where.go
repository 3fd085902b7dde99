package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/httpjson"
)

const (
	// defaultMetricsPort is the port of an instance's metrics if the address names none.
	defaultMetricsPort = "7721"
	// previewTimeout bounds each request for a preview.
	previewTimeout = time.Second
	// maxPreviewBytes bounds the answer to a request for a preview.
	maxPreviewBytes = 1 << 20
)

// whereCommand shows where a job would go now, without submitting it.
type whereCommand struct {
	Instance   string        `long:"instance" value-name:"ADDRESS" required:"true" description:"address of the metrics port of an instance; the port is 7721 if it is omitted"`
	Route      string        `long:"route" value-name:"NAME" required:"true" description:"route of the job"`
	Tasks      int           `long:"tasks" value-name:"N" default:"1" description:"number of tasks"`
	Millicores int           `long:"millicores" value-name:"N" default:"1000" description:"thousandths of a core for each task"`
	MemoryMiB  int           `long:"memory-mib" value-name:"N" description:"memory of each task in MiB"`
	Estimate   time.Duration `long:"estimate" value-name:"DURATION" description:"estimated run time of a task; the default is what the leader has measured for the route"`
	Rack       string        `long:"rack" value-name:"NAME" description:"rack that holds the data of the job"`
	JSON       bool          `long:"json" description:"print the answers of the instance and of the leader unchanged, each on a line"`
	env        environment
}

// A whereError reports a job that would be refused or whose leader gave no answer.
type whereError struct {
	// refused is set if the job would be refused or the question was rejected.
	refused bool
	message string
}

// Error returns the message.
func (e *whereError) Error() string { return e.message }

// Execute asks the instance and, if it does not lead, the leader, and prints the answers. It
// returns a *whereError if the job would be refused, or if there is no decision.
func (c *whereCommand) Execute([]string) error {
	if c.Tasks < 1 || c.Millicores < 0 || c.MemoryMiB < 0 || c.Estimate < 0 {
		return usageError("--tasks must be positive, and no amount negative")
	}
	host, port, err := net.SplitHostPort(c.Instance)
	if err != nil {
		host, port = c.Instance, defaultMetricsPort
	}
	receiver, err := c.ask(net.JoinHostPort(host, port), "")
	if err != nil {
		return err
	}
	switch {
	case receiver.Refusal != "":
		return &whereError{refused: true, message: "the instance would refuse the job: " + receiver.Refusal}
	case receiver.Decision != nil:
		return decisionError(receiver.Decision)
	case receiver.Leader == nil:
		return &whereError{message: "the instance knows no leader of " + receiver.Home}
	}
	address := net.JoinHostPort(receiver.Leader.Address.Addr().String(), port)
	leader, err := c.ask(address, receiver.Home)
	switch {
	case err != nil:
		return &whereError{message: "the leader gave no answer: " + err.Error()}
	case leader.Decision == nil:
		return &whereError{message: address + " does not lead " + receiver.Home}
	default:
		return decisionError(leader.Decision)
	}
}

// decisionError returns an error if the job would be refused.
func decisionError(d *dispatch.PreviewDecision) error {
	if d.Outcome == dispatch.PreviewRefused {
		return &whereError{refused: true, message: "the leader would refuse the job: " + d.Reason}
	}
	return nil
}

// ask asks the instance at address for the decision on a job of a receiver of the zone home,
// or of its own zone if home is empty, and prints the answer.
func (c *whereCommand) ask(address, home string) (dispatch.Preview, error) {
	var preview dispatch.Preview
	ctx, cancel := context.WithTimeout(context.Background(), previewTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/where?"+c.query(home).Encode(), nil)
	if err != nil {
		return preview, usageError("--instance: " + err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return preview, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPreviewBytes))
	if err != nil {
		return preview, errors.Wrap(err, "read the answer of "+address)
	}
	if err := httpjson.Decode(response.StatusCode, body, &preview); err != nil {
		if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusBadRequest {
			return preview, &whereError{refused: true, message: address + ": " + err.Error()}
		}
		return preview, errors.Wrap(err, address)
	}
	if c.JSON {
		_, _ = c.env.stdout.Write(body)
		return preview, nil
	}
	printPreview(c.env.stdout, preview)
	return preview, nil
}

// query returns the parameters of the request.
func (c *whereCommand) query(home string) url.Values {
	q := url.Values{
		"route":       {c.Route},
		"tasks":       {strconv.Itoa(c.Tasks)},
		"millicores":  {strconv.Itoa(c.Millicores)},
		"memory_mib":  {strconv.Itoa(c.MemoryMiB)},
		"estimate_ms": {strconv.FormatInt(c.Estimate.Milliseconds(), 10)},
	}
	if c.Rack != "" {
		q.Set("rack", c.Rack)
	}
	if home != "" {
		q.Set("home", home)
	}
	return q
}

// printPreview prints what an instance says about a job.
func printPreview(out io.Writer, p dispatch.Preview) {
	fmt.Fprintf(out, "instance %v zone=%s home=%s tables=%d tables-read=%s workers-read=%s\n",
		p.Instance, p.Zone, p.Home, p.TablesVersion, ageText(p.TablesAge), ageText(p.WorkersAge))
	if p.Refusal != "" {
		fmt.Fprintf(out, "  refused here reason=%s retry-after=%v\n", p.Refusal, p.RetryAfter)
	}
	if l := p.Leader; l != nil {
		fmt.Fprintf(out, "  leader %v term=%d heard=%v live=%t\n", l.Address, l.Term, l.Age, l.Live)
	}
	if p.Decision != nil {
		printDecision(out, p.Decision)
	}
}

// printDecision prints what a leader would do with a job.
func printDecision(out io.Writer, d *dispatch.PreviewDecision) {
	fmt.Fprintf(out, "  %s", d.Outcome)
	if d.Reason != "" {
		fmt.Fprintf(out, " reason=%s", d.Reason)
	}
	if d.RedirectedTo != "" {
		fmt.Fprintf(out, " to=%s", d.RedirectedTo)
	}
	if d.Outcome == dispatch.PreviewRefused {
		fmt.Fprintf(out, " retry-after=%v..%v", d.RetryAfter, d.RetryAfterLatest)
	}
	if d.Start != nil {
		fmt.Fprintf(out, " start=%v end=%v", d.Start, d.End)
	}
	fmt.Fprintf(out, " objective=%v max-wait=%v\n", d.Objective, d.MaxWait)
	for _, q := range d.Ahead {
		fmt.Fprintf(out, "  ahead urgency=%d jobs=%d tasks=%d core-seconds=%.3f\n", q.Urgency, q.Jobs, q.Tasks, q.CoreSeconds)
	}
	fmt.Fprintf(out, "  workers pool=%s total=%d fit=%d room-tasks=%d", d.Workers.Pool, d.Workers.Total, d.Workers.Fit, d.Workers.Room)
	for _, reason := range slices.Sorted(maps.Keys(d.Workers.Others)) {
		fmt.Fprintf(out, " %s=%d", reason, d.Workers.Others[reason])
	}
	fmt.Fprintln(out)
	for _, w := range d.Workers.Chosen {
		fmt.Fprintf(out, "  worker %s rack=%s speed=%.2f run=%v in-time=%t remote-data=%t\n", w.ID, w.Rack, w.Speed, w.Run, w.InTime, w.RemoteData)
	}
	fmt.Fprintf(out, "  drained zones=%v revision=%d\n", d.DrainedZones, d.DrainedRevision)
	for _, z := range d.Zones {
		fmt.Fprintf(out, "  zone %s millicores=%d free=%d wait=%v age=%v usable=%t\n", z.Zone, z.Millicores, z.FreeMillicores, z.Wait, z.Age, z.Usable)
	}
}

// ageText returns an age, or "never" if there is none.
func ageText(age *dispatch.Millis) string {
	if age == nil {
		return "never"
	}
	return age.String()
}
