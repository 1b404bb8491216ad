package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/standin/cutconn"
	"topazmoor/internal/verdict"
)

// TestAnswerOfATargetCutAtAnyByteIsNoAnswer guards against a stage of a pipeline whose answer is cut in its head or body and
// counts as complete: its verdict is that it may have run.
func TestAnswerOfATargetCutAtAnyByteIsNoAnswer(t *testing.T) {
	id := dispatch.Identity{Request: "r", Stage: "s", Attempt: 1}
	call := dispatch.Call{Identity: id, Target: "t", Addr: targetAddr, Path: "/x", Body: []byte("{}"), Echoes: true}
	body := `{"result":[1,2,3]}`
	head := "HTTP/1.1 200 OK\r\n" + dispatch.IdentityHeader + ": " + id.String() + "\r\n"
	for name, whole := range map[string]string{
		"length":  answer("200 OK", id.String(), body),
		"chunks":  head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"neither": head + "\r\n" + body,
	} {
		for _, end := range cutconn.Ends {
			t.Run(name+", "+end.Name, func(t *testing.T) {
				for n := range len(whole) {
					c := dispatch.New(cutconn.Dial(whole[:n], end), 1<<20, intake.NewBudget(0))
					got, err := c.Do(t.Context(), call)
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("cut after %d of %d bytes: %q", n, len(whole), got))
					qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun, qt.Commentf("cut after %d bytes", n))
					c.Close()
				}
			})
		}
	}
}

// TestStreamOfATargetCutAtAnyByteIsNotDone is the same for generations.
func TestStreamOfATargetCutAtAnyByteIsNotDone(t *testing.T) {
	id := dispatch.Identity{Request: "r", Stage: "s", Attempt: 1}
	call := dispatch.Call{Identity: id, Target: "t", Addr: targetAddr, Path: "/x", Body: []byte("{}"), Echoes: true}
	var events strings.Builder
	for i := range 3 {
		fmt.Fprintf(&events, "data: {\"choices\":[{\"text\":\"t\",\"token_index\":%d}]}\n\n", i)
	}
	whole := "HTTP/1.1 200 OK\r\n" + dispatch.IdentityHeader + ": " + id.String() + "\r\n\r\n" + events.String() + "data: [DONE]\n\n"
	// Its last line may lack its end.
	for n := range len(whole) - len("\n\n") {
		for _, end := range cutconn.Ends {
			c := dispatch.New(cutconn.Dial(whole[:n], end), 1<<20, intake.NewBudget(0))
			err := c.Stream(t.Context(), call, 0, dispatch.Stall{First: time.Minute, Next: time.Minute}, func(dispatch.Token) error { return nil })
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("cut after %d of %d bytes, %s", n, len(whole), end.Name))
			c.Close()
		}
	}
}
