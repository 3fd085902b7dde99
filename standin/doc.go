// Package standin holds small stand-ins for what the platform gives: the
// append-only log, the list of live and leaving instances, and workers with
// backend servers on them; and the metadata store and the workers that the own
// protocol does not know. They can be told to fail. They import nothing of
// the code that decides.
package standin
