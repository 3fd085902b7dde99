// Package httpjson sends HTTP requests whose answers are JSON bodies.
package httpjson
