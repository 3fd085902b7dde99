// Package httpjson sends HTTP requests and decodes their JSON responses.
package httpjson
