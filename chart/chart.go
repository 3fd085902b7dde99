package chart

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxNames is the largest number of states, or of events, in one chart.
const maxNames = 256

// A State is the compact number of a state of one Chart. The zero State is the
// chart's initial state.
type State uint8

// An Event is the compact number of an event of one Chart.
type Event uint8

// A Chart says which event moves which state to which other. A Chart is never
// changed once parsed and is safe for concurrent use.
type Chart struct {
	states []string
	events []string
	// next holds the target of each state and event, or none.
	next []int16
	// transitions holds the numbers of the file's transitions in its order.
	transitions []transition
}

type transition struct {
	from  State
	event Event
	to    State
}

// none marks a pair of state and event without a transition.
const none = -1

// A TransitionError reports a transition that makes a chart invalid.
type TransitionError struct {
	// Index is the position of the transition in the file, from 0.
	Index int
	// From, Event and To are the transition's names.
	From, Event, To string
	// Problem says what is wrong.
	Problem string
}

// Error describes the transition and its problem.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("transition %d (%q, %q, %q): %s", e.Index, e.From, e.Event, e.To, e.Problem)
}

// A NameError reports a name that a chart does not have.
type NameError struct {
	// Name is what was looked up.
	Name string
}

// Error names what is missing.
func (e *NameError) Error() string {
	return fmt.Sprintf("no state or event %q in the chart", e.Name)
}

// Parse reads a chart from TOML text with an array of tables named transitions,
// each with the strings from, event and to. The first transition's from is the
// initial state. Parse returns a *TransitionError if a name is empty, if a
// state and event stand twice, or if there are too many names.
func Parse(text []byte) (*Chart, error) {
	var file struct {
		Transitions []struct {
			From  string `toml:"from"`
			Event string `toml:"event"`
			To    string `toml:"to"`
		} `toml:"transitions"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, errors.Wrap(err, "read state chart")
	}
	c := &Chart{}
	for i, t := range file.Transitions {
		if problem := c.add(t.From, t.Event, t.To); problem != "" {
			return nil, &TransitionError{Index: i, From: t.From, Event: t.Event, To: t.To, Problem: problem}
		}
	}
	if len(c.transitions) == 0 {
		return nil, &TransitionError{Problem: "the chart is empty"}
	}
	c.index()
	return c, nil
}

// add appends one transition and returns what is wrong with it, or "".
func (c *Chart) add(from, event, to string) string {
	if from == "" || event == "" || to == "" {
		return "a name is empty"
	}
	f, e, t := number(&c.states, from), number(&c.events, event), number(&c.states, to)
	if len(c.states) > maxNames || len(c.events) > maxNames {
		return "too many names"
	}
	added := transition{from: State(f), event: Event(e), to: State(t)}
	for _, other := range c.transitions {
		if other.from == added.from && other.event == added.event {
			return "the state and event stand twice"
		}
	}
	c.transitions = append(c.transitions, added)
	return ""
}

// index fills the table that Next reads.
func (c *Chart) index() {
	c.next = make([]int16, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = none
	}
	for _, t := range c.transitions {
		c.next[c.cell(t.from, t.event)] = int16(t.to)
	}
}

func (c *Chart) cell(s State, e Event) int {
	return int(s)*len(c.events) + int(e)
}

// number returns the position of name in names, which it extends if need be.
func number(names *[]string, name string) int {
	if i := position(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

func position(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return none
}

// Next returns the state to which e moves s, and whether the chart has such a
// transition. Without one it returns s.
func (c *Chart) Next(s State, e Event) (State, bool) {
	if int(s) >= len(c.states) || int(e) >= len(c.events) {
		return s, false
	}
	to := c.next[c.cell(s, e)]
	if to == none {
		return s, false
	}
	return State(to), true
}

// State returns the state called name, or a *NameError.
func (c *Chart) State(name string) (State, error) {
	i := position(c.states, name)
	if i < 0 {
		return 0, &NameError{Name: name}
	}
	return State(i), nil
}

// Event returns the event called name, or a *NameError.
func (c *Chart) Event(name string) (Event, error) {
	i := position(c.events, name)
	if i < 0 {
		return 0, &NameError{Name: name}
	}
	return Event(i), nil
}

// Name returns the name of s, or "" if the chart has no such state.
func (c *Chart) Name(s State) string {
	if int(s) >= len(c.states) {
		return ""
	}
	return c.states[s]
}

// States returns the names of all states, each at its number.
func (c *Chart) States() []string {
	return append([]string(nil), c.states...)
}

// Events returns the names of all events, each at its number.
func (c *Chart) Events() []string {
	return append([]string(nil), c.events...)
}
