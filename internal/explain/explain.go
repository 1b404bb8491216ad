// Package explain finds the way of one request in the logs of several nodes.
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

// Step is one decision about a request.
type Step struct {
	At    time.Time `json:"at"`
	Node  string    `json:"node"`
	What  string    `json:"what"`
	Level string    `json:"level"`
	// Fields are what decided and what came of it, in the order of the line.
	Fields []Field `json:"fields"`
}

// Field is one field of a log line.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Read adds the steps of a request from one log. Lines may have words before
// their JSON; lines that are no JSON are passed over and counted.
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
		s, about, err := parse(line[start:], request)
		if err != nil {
			skipped++
			continue
		}
		if about {
			steps = append(steps, s)
		}
	}
	return steps, skipped, eris.Wrap(lines.Err(), "read log")
}

// parse reads one line and tells whether it is about the request.
func parse(line []byte, request string) (s Step, about bool, err error) {
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
		about = about || names(field, value, request)
		s.set(field, value)
	}
	return s, about, nil
}

// names reports whether a field says that the line is about the request.
func names(field string, value json.RawMessage, request string) bool {
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

func (s *Step) set(field string, value json.RawMessage) {
	var dst any
	switch field {
	case "time":
		dst = &s.At
	case "node":
		dst = &s.Node
	case "msg":
		dst = &s.What
	case "level":
		dst = &s.Level
	case "request", "requests":
		return
	}
	if dst == nil || json.Unmarshal(value, dst) != nil {
		s.Fields = append(s.Fields, Field{Name: field, Value: value})
	}
}

// Sort orders steps by time; those of one moment keep their order.
func Sort(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return a.At.Compare(b.At) })
}

// Write prints steps, one a line, with the time since the first.
func Write(w io.Writer, steps []Step) error {
	for _, s := range steps {
		var fields []string
		for _, f := range s.Fields {
			fields = append(fields, f.Name+"="+strings.Trim(string(f.Value), `"`))
		}
		_, err := fmt.Fprintf(w, "%s %+9.3fs  %-20s %-32s %s\n", s.At.Format("15:04:05.000"), s.At.Sub(steps[0].At).Seconds(), s.Node, s.What, strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
