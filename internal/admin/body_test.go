package admin

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/verdict"
)

// A body that breaks off is not one that is too large.
func TestBodyThatBreaksOffIsNotTooLarge(t *testing.T) {
	r := httptest.NewRequest("POST", "/", iotest.ErrReader(io.ErrUnexpectedEOF))
	qt.Check(t, verdict.CodeOf(decodeBody(r, &RolloutRequest{})), qt.Equals, verdict.InvalidRequest)
	large := httptest.NewRequest("POST", "/", nil)
	large.Body = io.NopCloser(strings.NewReader("{}"))
	qt.Check(t, verdict.CodeOf(decodeBody(large, &RolloutRequest{})), qt.Not(qt.Equals), verdict.TooLarge)
}
