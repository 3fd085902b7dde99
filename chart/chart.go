package chart

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxNames is the largest number of states, or of events, in one chart.
const maxNames = 256

// A State is the index of a state of one Chart. The zero State is the chart's
// initial state.
type State uint8

// An Event is the index of an event of one Chart.
type Event uint8

// A Chart maps each pair of a state and an event to the next state. A Chart is
// immutable and safe for concurrent use.
type Chart struct {
	states []string
	events []string
	// targets holds, at targetIndex(s, e), the state that follows the state s
	// on the event e, or absent if there is no such transition.
	targets []int16
	// transitions holds the transitions in the order of the file.
	transitions []transition
}

// transition is the change from one state to another on an event.
type transition struct {
	from  State
	event Event
	to    State
}

// absent stands in Chart.targets for a pair of a state and an event without a
// transition. It is also the index that indexOf returns for an unknown name.
const absent = -1

// A TransitionError reports a transition that makes a chart invalid.
type TransitionError struct {
	// Index is the position of the transition in the file, from 0. It is 0 if
	// the file has no transition.
	Index int
	// From, Event and To are the names in the transition. They are empty if the
	// file has no transition.
	From, Event, To string
	// Problem is what is wrong with the transition.
	Problem string
}

// Error returns a text with all fields.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("transition %d (%q, %q, %q): %s", e.Index, e.From, e.Event, e.To, e.Problem)
}

// A NameError reports a name that a chart does not have.
type NameError struct {
	// Name is the unknown name.
	Name string
}

// Error returns a text with the unknown name.
func (e *NameError) Error() string {
	return fmt.Sprintf("no state or event %q in the chart", e.Name)
}

// Parse reads a chart from TOML text with an array of tables named transitions,
// each with the strings from, event and to. The first transition's from is the
// initial state. Parse returns a *TransitionError if a name is empty, if two
// transitions have the same from and event, if there are more than 256 states
// or events, or if there is no transition. It returns another error if text is
// not TOML of this form.
func Parse(text []byte) (*Chart, error) {
	var file struct {
		Transitions []struct {
			From  string `toml:"from"`
			Event string `toml:"event"`
			To    string `toml:"to"`
		} `toml:"transitions"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, errors.Wrap(err, "parse state chart")
	}
	c := &Chart{}
	for i, t := range file.Transitions {
		if problem := c.add(t.From, t.Event, t.To); problem != "" {
			return nil, &TransitionError{Index: i, From: t.From, Event: t.Event, To: t.To, Problem: problem}
		}
	}
	if len(c.transitions) == 0 {
		return nil, &TransitionError{Problem: "the chart has no transitions"}
	}
	c.fillTargets()
	return c, nil
}

// add appends one transition. If the transition is invalid, add returns a text that
// says why, and otherwise "".
func (c *Chart) add(from, event, to string) string {
	if from == "" || event == "" || to == "" {
		return "empty state or event name"
	}
	f, e, t := intern(&c.states, from), intern(&c.events, event), intern(&c.states, to)
	if len(c.states) > maxNames || len(c.events) > maxNames {
		return "too many states or events"
	}
	added := transition{from: State(f), event: Event(e), to: State(t)}
	for _, other := range c.transitions {
		if other.from == added.from && other.event == added.event {
			return "second transition for this state and event"
		}
	}
	c.transitions = append(c.transitions, added)
	return ""
}

// fillTargets computes targets from transitions.
func (c *Chart) fillTargets() {
	c.targets = make([]int16, len(c.states)*len(c.events))
	for i := range c.targets {
		c.targets[i] = absent
	}
	for _, t := range c.transitions {
		c.targets[c.targetIndex(t.from, t.event)] = int16(t.to)
	}
}

// targetIndex returns the index in targets of the pair of s and e.
func (c *Chart) targetIndex(s State, e Event) int {
	return int(s)*len(c.events) + int(e)
}

// intern returns the index of name in names. If name is missing there, intern appends
// it.
func intern(names *[]string, name string) int {
	if i := indexOf(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// indexOf returns the index of name in names, or absent.
func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return absent
}

// Next returns the state that follows s on the event e, and true. If the chart has no
// such transition, Next returns s and false.
func (c *Chart) Next(s State, e Event) (State, bool) {
	if int(s) >= len(c.states) || int(e) >= len(c.events) {
		return s, false
	}
	to := c.targets[c.targetIndex(s, e)]
	if to == absent {
		return s, false
	}
	return State(to), true
}

// State returns the state called name, or a *NameError.
func (c *Chart) State(name string) (State, error) {
	i := indexOf(c.states, name)
	if i < 0 {
		return 0, &NameError{Name: name}
	}
	return State(i), nil
}

// Event returns the event called name, or a *NameError.
func (c *Chart) Event(name string) (Event, error) {
	i := indexOf(c.events, name)
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

// States returns the names of all states, indexed by State.
func (c *Chart) States() []string {
	return append([]string(nil), c.states...)
}

// Events returns the names of all events, indexed by Event.
func (c *Chart) Events() []string {
	return append([]string(nil), c.events...)
}
