// Package httpjson decodes the JSON bodies of HTTP responses.
package httpjson
