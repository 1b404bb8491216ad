package httpanswer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformed is the cause of errors that report an answer that breaks the syntax of HTTP/1.
var ErrMalformed = eris.New("httpanswer: malformed")

const (
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
	// oldVersion begins the status line of an answer whose version has no transfer codings.
	oldVersion = "HTTP/1.0"
)

// Read reads the head of the next answer to a request, and checks it. Like http.ReadResponse it also returns informational
// answers; the body of the answer reads from br.
func Read(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := read(br, req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// read reads a head without the checks of Check. http.ReadResponse ignores the transfer coding of an answer of HTTP/1.0 and drops
// its field, so the lines of such a head are looked at first.
func read(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	start, err := br.Peek(len(oldVersion))
	if err != nil || string(start) != oldVersion {
		return http.ReadResponse(br, req)
	}
	head, err := readLines(br)
	if err != nil {
		return nil, err
	}
	if hasField(head, "Transfer-Encoding") {
		return nil, eris.Wrap(ErrMalformed, "a transfer coding in an answer of HTTP/1.0")
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), br)), req)
	if err == nil {
		// What follows the answer may be buffered apart from br.
		resp.Close = true
	}
	return resp, err
}

// readLines reads the lines of a head, and the empty line that ends it.
func readLines(br *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := br.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case bytes.HasSuffix(head, []byte("\n\r\n")), bytes.HasSuffix(head, []byte("\n\n")):
			return head, nil
		}
	}
}

// hasField reports whether a line of a head begins with the name of a field.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if field, _, found := bytes.Cut(line, []byte(":")); found && bytes.EqualFold(bytes.TrimSpace(field), []byte(name)) {
			return true
		}
	}
	return false
}

// Check checks the head of an answer that net/http has read: its version, its status, and the names of its fields. net/http
// keeps a field whose name holds a blank, and then does not see the length or the transfer coding that the line may
// have stated. Errors wrap ErrMalformed.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return eris.Wrapf(ErrMalformed, "version %q", resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return eris.Wrapf(ErrMalformed, "status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return eris.Wrap(ErrMalformed, "it changes to another protocol, which no request asks for")
	case strings.ContainsFunc(resp.Status, isControl):
		return eris.Wrapf(ErrMalformed, "status line %q", resp.Status)
	}
	return checkNames(resp.Header)
}

// End returns the error of the read that has reached the end of an answer's body: io.EOF, unless the fields after its last chunk are
// malformed.
func End(resp *http.Response) error {
	if err := checkNames(resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// checkNames checks that the names of fields are tokens.
func checkNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isNoToken) {
			return eris.Wrapf(ErrMalformed, "the name of a field is %q", name)
		}
	}
	return nil
}

// isControl reports whether a character must not be in the text of a status line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isNoToken reports whether a character must not be in the name of a field.
func isNoToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}

// Framed reports whether an answer states where its body ends: by a length, by chunks, or by having none. The end of
// any other answer is that of its connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request != nil && resp.Request.Method == http.MethodHead
}
