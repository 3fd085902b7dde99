// Package standin holds small stand-ins for what the platform gives: the
// append-only log, the list of live and leaving instances, and workers with
// backend servers on them. They can be told to fail. They import nothing of
// the code that decides.
package standin
