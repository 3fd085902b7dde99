// Package peer speaks between the entry instances: it holds the messages, the
// link that carries them over drpc, what an instance believes of its peers,
// and the choice of the peer that starts a task.
package peer
