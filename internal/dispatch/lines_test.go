package dispatch

import (
	"bufio"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// linesOf returns the lines of a text, and the error at its end.
func linesOf(text string, room func(int64) bool) (lines []string, err error) {
	r := &lineReader{br: bufio.NewReaderSize(strings.NewReader(text), lineBuffer), room: room}
	for {
		line, err := r.next()
		if err != nil {
			return lines, err
		}
		lines = append(lines, string(line))
	}
}

func TestLinesOfAnyLength(t *testing.T) {
	anyRoom := func(int64) bool { return true }
	for _, want := range [][]string{
		nil, {""}, {"a"}, {"a", "", "b"},
		{strings.Repeat("x", lineBuffer-1)}, {strings.Repeat("x", lineBuffer)}, {strings.Repeat("x", lineBuffer+1), "y"},
		{"y", strings.Repeat("x", 10*lineBuffer), strings.Repeat("z", 3*lineBuffer), ""},
	} {
		for _, end := range []string{"\n", "\r\n"} {
			text := ""
			for _, line := range want {
				text += line + end
			}
			got, err := linesOf(text, anyRoom)
			qt.Check(t, err, qt.Equals, io.EOF)
			qt.Check(t, got, qt.DeepEquals, want)
		}
	}
	got, err := linesOf("a\nb", anyRoom)
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, got, qt.DeepEquals, []string{"a", "b"})
	_, err = linesOf(strings.Repeat("x", maxLine+1), anyRoom)
	qt.Check(t, err, qt.Equals, errLongLine)
}

func TestLongLinesReserveTheirRoom(t *testing.T) {
	var reserved int64
	room := func(bytes int64) bool {
		reserved += bytes
		return reserved <= 8*lineBuffer
	}
	_, err := linesOf(strings.Repeat("x", lineBuffer-1)+"\n"+strings.Repeat("x", 2*lineBuffer)+"\n", room)
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, reserved > 0, qt.IsTrue)
	_, err = linesOf(strings.Repeat("x", 20*lineBuffer), room)
	qt.Check(t, err, qt.Equals, errNoRoom)
}
