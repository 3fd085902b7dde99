// Package backend schedules tasks on the backend servers of a pool. It shares
// the slots between routes, chooses a server for each task, ejects servers
// that fail too many tasks, and sends the tasks over HTTP.
package backend
