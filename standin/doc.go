// Package standin holds small stand-ins for what the platform gives: the metadata
// store, the workers of the platform's protocol, and workers with backend servers
// of the own protocol. They can be told to fail. They import nothing of the code
// that decides.
package standin
