package chart_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/chart"
)

const doorChart = `
[[transitions]]
from = "closed"
event = "open"
to = "opened"

[[transitions]]
from = "opened"
event = "close"
to = "closed"
`

func ExampleChart() {
	c, err := chart.Parse([]byte(doorChart))
	if err != nil {
		panic(err)
	}
	open, _ := c.Event("open")
	var state chart.State
	state, moved := c.Next(state, open)
	fmt.Println(c.Name(state), moved)
	state, moved = c.Next(state, open)
	fmt.Println(c.Name(state), moved)
	fmt.Print(c.Mermaid())
	// Output:
	// opened true
	// opened false
	// stateDiagram-v2
	//     [*] --> closed
	//     closed --> opened : open
	//     opened --> closed : close
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	duplicate := "[[transitions]]\nfrom = \"closed\"\nevent = \"open\"\nto = \"closed\"\n"
	for name, text := range map[string]string{
		"empty":       "",
		"unnamed":     "[[transitions]]\nfrom = \"a\"\nevent = \"b\"\n",
		"two targets": doorChart + duplicate,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := chart.Parse([]byte(text))
			var bad *chart.TransitionError
			is.True(errors.As(err, &bad))
		})
	}
}

// TestUnknownNameIsReported checks that the name of an unknown state is returned as an
// error, and that an unknown state has no transitions.
func TestUnknownNameIsReported(t *testing.T) {
	is := is.New(t)
	c, err := chart.Parse([]byte(doorChart))
	is.NoErr(err)
	_, err = c.State("ajar")
	var missing *chart.NameError
	is.True(errors.As(err, &missing))
	is.Equal(missing.Name, "ajar")
	_, moved := c.Next(chart.State(9), chart.Event(0))
	is.True(!moved)
}
