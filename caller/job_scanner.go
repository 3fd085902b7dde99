package caller

import (
	"bytes"
	"encoding/base64"
	"unicode/utf8"
)

// A jobScanner reads the usual JSON of a job: an object whose values are
// texts without escapes and, for the tasks, an array of base64 texts.
type jobScanner struct {
	body []byte
	at   int
	// payloads is the one buffer of all tasks.
	payloads []byte
}

// scanJob returns the fields of a job's JSON and whether it could read it.
// What it can't read is for unmarshalJob to read or to reject.
func scanJob(body []byte) (jobBody, bool) {
	s := jobScanner{body: body}
	var fields jobBody
	seen := make(map[string]bool, 4)
	if !s.token('{') {
		return jobBody{}, false
	}
	for {
		name, ok := s.text()
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
	return fields, s.at == len(body)
}

// value reads the value of the field of the given name.
func (s *jobScanner) value(fields *jobBody, name string) bool {
	var ok bool
	switch name {
	case "key":
		fields.Key, ok = s.text()
	case "route":
		fields.Route, ok = s.text()
	case "timeout":
		fields.Timeout, ok = s.text()
	case "tasks":
		fields.Tasks, ok = s.tasks()
	}
	return ok
}

// tasks reads an array of at most MaxTasks base64 texts.
func (s *jobScanner) tasks() ([][]byte, bool) {
	if !s.token('[') || s.token(']') {
		return nil, false
	}
	rest := s.body[s.at:]
	s.payloads = make([]byte, 0, base64.StdEncoding.DecodedLen(len(rest)))
	// Each task has two quotation marks.
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

// task reads one base64 text and decodes it into payloads.
func (s *jobScanner) task() ([]byte, bool) {
	text, ok := s.quoted()
	if !ok || len(text)%4 != 0 {
		return nil, false
	}
	start := len(s.payloads)
	n, err := base64.StdEncoding.Decode(s.payloads[start:cap(s.payloads)], text)
	padding := len(text) - len(bytes.TrimRight(text, "="))
	// The decoder skips line breaks, which JSON does not allow in a text.
	if err != nil || n != len(text)/4*3-padding {
		return nil, false
	}
	s.payloads = s.payloads[:start+n]
	return s.payloads[start : start+n : start+n], true
}

// text reads a text without escapes.
func (s *jobScanner) text() (string, bool) {
	text, ok := s.quoted()
	if !ok || !utf8.Valid(text) {
		return "", false
	}
	for _, c := range text {
		if c < ' ' || c == '\\' {
			return "", false
		}
	}
	return string(text), true
}

// quoted reads all up to the next quotation mark after one.
func (s *jobScanner) quoted() ([]byte, bool) {
	if !s.token('"') {
		return nil, false
	}
	n := bytes.IndexByte(s.body[s.at:], '"')
	if n < 0 {
		return nil, false
	}
	text := s.body[s.at : s.at+n]
	s.at += n + 1
	return text, true
}

// token reads c after any space and reports whether it was there.
func (s *jobScanner) token(c byte) bool {
	s.skipSpace()
	if s.at == len(s.body) || s.body[s.at] != c {
		return false
	}
	s.at++
	return true
}

// skipSpace skips JSON's space.
func (s *jobScanner) skipSpace() {
	for s.at < len(s.body) {
		switch s.body[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}
