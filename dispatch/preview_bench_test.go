package dispatch_test

import (
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// BenchmarkPreview measures a preview of a large job at the leader of a flooded pool, whose
// queue it copies and plans: the control goroutine does nothing else meanwhile.
func BenchmarkPreview(b *testing.B) {
	m := newLoadModel(7)
	m.flood(time.Second, [3]float64{2.2, 2.2, 2.2})
	job := dispatch.Job{
		Route: modelKinds[2].route, Pool: "editor", Urgency: modelKinds[2].urgency, Stretch: 1.6, Slack: time.Second,
		CallerDeadline: m.now.Add(modelPatience),
		Steps:          []dispatch.Step{{Tasks: 1300, Needs: dispatch.Resources{Millicores: modelTaskCPU, Memory: 10}, Estimate: time.Second}},
	}
	for b.Loop() {
		m.Preview(m.now, "", job)
	}
}
