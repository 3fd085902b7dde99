package caller_test

import (
	"fmt"

	"github.com/amaranthwell/amaranthwell/caller"
)

func ExampleJob() {
	job := caller.Job{Route: "previews", Tasks: [][]byte{[]byte("raw-1"), []byte("raw-2")}}
	fmt.Println(job.Route, len(job.Tasks))
	// Output: previews 2
}
