package chart

// MustParse returns the chart that text holds, for charts that are built into
// the program. It panics where Parse would err.
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
