package chart

// MustParse is like Parse but panics on an error. It is meant for charts that are
// embedded in the program.
func MustParse(text []byte) *Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// MustState returns the state called name. It panics if there is none.
func (c *Chart) MustState(name string) State {
	s, err := c.State(name)
	if err != nil {
		panic(err)
	}
	return s
}

// MustEvent returns the event called name. It panics if there is none.
func (c *Chart) MustEvent(name string) Event {
	e, err := c.Event(name)
	if err != nil {
		panic(err)
	}
	return e
}
