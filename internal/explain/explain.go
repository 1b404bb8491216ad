// Package explain extracts the steps of one request from the logs of several nodes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Step is one log line about a request.
type Step struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Message string    `json:"what"`
	Level   string    `json:"level"`
	// Fields are the other fields of the line, in its order: the inputs of a decision and
	// its result.
	Fields []Field `json:"fields"`
}

// Field is one field of a log line.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Read returns the steps of a request from one log. A line may have text before its
// JSON object. Lines that contain the request's ID but no valid JSON are skipped and
// counted in skipped.
func Read(r io.Reader, request string) (steps []Step, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	id := []byte(request)
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.Contains(line, id) {
			continue
		}
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			skipped++
			continue
		}
		s, matches, err := parse(line[start:], request)
		if err != nil {
			skipped++
			continue
		}
		if matches {
			steps = append(steps, s)
		}
	}
	return steps, skipped, eris.Wrap(lines.Err(), "read log")
}

// parse parses the JSON object of a log line and reports whether the line refers to the
// request.
func parse(line []byte, request string) (s Step, matches bool, err error) {
	dec := json.NewDecoder(bytes.NewReader(line))
	if _, err := dec.Token(); err != nil {
		return s, false, err
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return s, false, err
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return s, false, err
		}
		field := fmt.Sprint(name)
		matches = matches || refersTo(field, value, request)
		s.set(field, value)
	}
	return s, matches, nil
}

// refersTo reports whether a field holds the ID of the request.
func refersTo(field string, value json.RawMessage, request string) bool {
	switch field {
	case "request":
		var id string
		return json.Unmarshal(value, &id) == nil && id == request
	case "requests":
		var ids []string
		return json.Unmarshal(value, &ids) == nil && slices.Contains(ids, request)
	}
	return false
}

// set sets the member of s that corresponds to a log field, or appends to Fields. It
// ignores the fields that hold request IDs.
func (s *Step) set(field string, value json.RawMessage) {
	var dst any
	switch field {
	case "time":
		dst = &s.At
	case "node":
		dst = &s.Node
	case "msg":
		dst = &s.Message
	case "level":
		dst = &s.Level
	case "request", "requests":
		return
	}
	if dst == nil || json.Unmarshal(value, dst) != nil {
		s.Fields = append(s.Fields, Field{Name: field, Value: value})
	}
}

// Sort sorts steps by time. Steps with equal times keep their order.
func Sort(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return a.At.Compare(b.At) })
}

// Write writes the steps of a request's history to w, one per line, each with its time of day and the
// seconds since the first step.
func Write(w io.Writer, steps []Step) error {
	for _, s := range steps {
		var fields []string
		for _, f := range s.Fields {
			fields = append(fields, f.Name+"="+strings.Trim(string(f.Value), `"`))
		}
		_, err := fmt.Fprintf(w, "%s %+9.3fs  %-20s %-32s %s\n", s.At.Format("15:04:05.000"), s.At.Sub(steps[0].At).Seconds(), s.Node, s.Message, strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
