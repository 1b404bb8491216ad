package strictjson

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is JSON with comments in which the lines of values are looked up.
type Document struct {
	src  []byte
	root hujson.Value
}

// NewDocument parses src.
func NewDocument(src []byte) (*Document, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, err
	}
	return &Document{src: src, root: root}, nil
}

// elementIndex is the index of a list element in the path of a Problem.
var elementIndex = regexp.MustCompile(`\[(\d+)\]`)

// Line returns the line, counted from 1, of the value at the path of a Problem. If there is no such
// value, it is the line of the innermost one around it.
func (d *Document) Line(path string) int {
	at := &d.root
	for _, name := range strings.Split(elementIndex.ReplaceAllString(path, ".$1"), ".") {
		next := at.Find("/" + escapePointer(name))
		if next == nil {
			break
		}
		at = next
	}
	return 1 + bytes.Count(d.src[:at.StartOffset], []byte("\n"))
}

// Element returns the path of the element of a list whose field "name" is the given string, or "".
func (d *Document) Element(list, name string) string {
	v := d.root.Find("/" + list)
	if v == nil {
		return ""
	}
	elements, ok := v.Value.(*hujson.Array)
	if !ok {
		return ""
	}
	for i := range elements.Elements {
		field := elements.Elements[i].Find("/name")
		if field == nil {
			continue
		}
		if literal, ok := field.Value.(hujson.Literal); ok && literal.String() == name {
			return fmt.Sprintf("%s[%d]", list, i)
		}
	}
	return ""
}

// escapePointer escapes one member of a JSON pointer.
func escapePointer(s string) string {
	return strings.ReplaceAll(strings.ReplaceAll(s, "~", "~0"), "/", "~1")
}
