package caller

import (
	"bytes"
	"encoding/base64"
	"unicode/utf8"
)

// A jobScanner parses the usual JSON form of a job: an object whose values are
// strings without escapes and, for the tasks, an array of base64 strings.
type jobScanner struct {
	body []byte
	// pos is the index in body of the first byte that is not yet parsed.
	pos int
	// payloads is the buffer shared by all decoded tasks.
	payloads []byte
}

// scanJob parses the JSON of a job and reports whether it succeeded. If it did
// not, the body may still be valid: unmarshalJob accepts or rejects it.
func scanJob(body []byte) (jobBody, bool) {
	s := jobScanner{body: body}
	var fields jobBody
	seen := make(map[string]bool, 4)
	if !s.token('{') {
		return jobBody{}, false
	}
	for {
		name, ok := s.plainString()
		if !ok || seen[name] || !s.token(':') || !s.value(&fields, name) {
			return jobBody{}, false
		}
		seen[name] = true
		if s.token('}') {
			break
		}
		if !s.token(',') {
			return jobBody{}, false
		}
	}
	s.skipSpace()
	return fields, s.pos == len(body)
}

// value parses the value of the field with the given name into fields. It
// returns false for an unknown field.
func (s *jobScanner) value(fields *jobBody, name string) bool {
	var ok bool
	switch name {
	case "key":
		fields.Key, ok = s.plainString()
	case "route":
		fields.Route, ok = s.plainString()
	case "timeout":
		fields.Timeout, ok = s.plainString()
	case "tasks":
		fields.Tasks, ok = s.tasks()
	}
	return ok
}

// tasks parses an array of 1 to MaxTasks base64 strings.
func (s *jobScanner) tasks() ([][]byte, bool) {
	if !s.token('[') || s.token(']') {
		return nil, false
	}
	rest := s.body[s.pos:]
	s.payloads = make([]byte, 0, base64.StdEncoding.DecodedLen(len(rest)))
	// Each task has two quotation marks, which gives an upper bound of the
	// number of tasks.
	tasks := make([][]byte, 0, min(MaxTasks, bytes.Count(rest, []byte{'"'})/2))
	for {
		task, ok := s.task()
		if !ok || len(tasks) == MaxTasks {
			return nil, false
		}
		tasks = append(tasks, task)
		if s.token(']') {
			return tasks, true
		}
		if !s.token(',') {
			return nil, false
		}
	}
}

// task parses one base64 string and appends its payload to payloads.
func (s *jobScanner) task() ([]byte, bool) {
	raw, ok := s.rawString()
	if !ok || len(raw)%4 != 0 {
		return nil, false
	}
	start := len(s.payloads)
	n, err := base64.StdEncoding.Decode(s.payloads[start:cap(s.payloads)], raw)
	padding := len(raw) - len(bytes.TrimRight(raw, "="))
	// The decoder skips line breaks, which JSON does not allow in a string.
	if err != nil || n != len(raw)/4*3-padding {
		return nil, false
	}
	s.payloads = s.payloads[:start+n]
	return s.payloads[start : start+n : start+n], true
}

// plainString parses a string without escapes.
func (s *jobScanner) plainString() (string, bool) {
	raw, ok := s.rawString()
	if !ok || !utf8.Valid(raw) {
		return "", false
	}
	for _, c := range raw {
		if c < ' ' || c == '\\' {
			return "", false
		}
	}
	return string(raw), true
}

// rawString parses a quotation mark and returns the bytes up to the next one.
func (s *jobScanner) rawString() ([]byte, bool) {
	if !s.token('"') {
		return nil, false
	}
	n := bytes.IndexByte(s.body[s.pos:], '"')
	if n < 0 {
		return nil, false
	}
	raw := s.body[s.pos : s.pos+n]
	s.pos += n + 1
	return raw, true
}

// token skips white space and the byte c after it. It returns false, without
// skipping that byte, if the next byte after the white space is not c.
func (s *jobScanner) token(c byte) bool {
	s.skipSpace()
	if s.pos == len(s.body) || s.body[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// skipSpace skips JSON white space.
func (s *jobScanner) skipSpace() {
	for s.pos < len(s.body) {
		switch s.body[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}
