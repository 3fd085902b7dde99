package chart

import (
	"fmt"
	"strings"
)

// Mermaid returns the chart as a Mermaid state diagram with the transitions in
// the order of the file.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.states[0])
	for _, t := range c.transitions {
		fmt.Fprintf(&b, "    %s --> %s : %s\n", c.states[t.from], c.states[t.to], c.events[t.event])
	}
	return b.String()
}
