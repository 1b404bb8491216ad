package fleet

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/standin/cutconn"
)

// TestBrokenAnswerToAnOrderIsNone guards against an order that counts as received after an answer that is malformed or breaks off.
func TestBrokenAnswerToAnOrderIsNone(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		whole  bool
	}{
		"whole":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 2\r\n\r\nok", false},
		"cut within its body": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Controller{Client: &http.Client{Transport: httpanswer.NewTransport(httpanswer.Options{Dial: cutconn.Dial(tc.answer, cutconn.Ends[0]), NoKeepAlive: true})}}
			err := c.post(t.Context(), Engine{ID: "e", Addr: "10.0.0.1:80"}, Order{})
			qt.Check(t, err == nil, qt.Equals, tc.whole, qt.Commentf("%v", err))
		})
	}
}
