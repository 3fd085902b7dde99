// Package tcp opens connections that do not hang on a silent peer.
package tcp
