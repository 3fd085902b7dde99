// Package peer implements the protocol between entry instances: the messages,
// the link that carries them over drpc, the known state of each peer, the
// leadership of availability zones, and the choice of the instance that starts
// a task.
package peer
