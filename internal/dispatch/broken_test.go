package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/standin/cutconn"
	"topazmoor/internal/verdict"
)

// brokenAnswers are answers of a target in trouble, by what is wrong with them. ID stands for the identity of the call.
func brokenAnswers(id string) map[string]string {
	const body = "Content-Length: 2\r\n\r\n{}"
	named := dispatch.IdentityHeader + ": " + id + "\r\n"
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 \r\n" + named + body,
		"status 099":                     "HTTP/1.1 099 X\r\n" + named + body,
		"blank in a name":                "HTTP/1.1 200 OK\r\n" + named + "X y: z\r\n" + body,
		"blank after a name":             "HTTP/1.1 200 OK\r\n" + named + "Content-Length : 9\r\n\r\n{}",
		"control byte in a name":         "HTTP/1.1 200 OK\r\n" + named + "X\x01y: z\r\n" + body,
		"another version":                "HTTP/2.0 200 OK\r\n" + named + body,
		"another protocol":               "HTTP/1.1 101 Switching Protocols\r\n" + named + body,
		"control byte in the reason":     "HTTP/1.1 200 O\x00K\r\n" + named + body,
		"blank in a name of the trailer": "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX y: z\r\n\r\n",
	}
}

// TestMalformedAnswerOfATargetIsNoAnswer guards against a stage of a pipeline whose answer is malformed and counts.
func TestMalformedAnswerOfATargetIsNoAnswer(t *testing.T) {
	id := dispatch.Identity{Request: "r", Stage: "s", Attempt: 1}
	call := dispatch.Call{Identity: id, Target: "t", Addr: targetAddr, Path: "/x", Body: []byte("{}"), Echoes: true}
	for name, answer := range brokenAnswers(id.String()) {
		t.Run(name, func(t *testing.T) {
			c := dispatch.New(cutconn.Dial(answer, cutconn.Ends[0]), 1<<20, intake.NewBudget(0))
			defer c.Close()
			got, err := c.Do(t.Context(), call)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q gave %q", answer, got))
			qt.Check(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		})
	}
}

// TestBrokenRefusalDoesNotShowThatACallHasNotRun guards against a second run of a call after a refusal that is malformed or breaks off.
func TestBrokenRefusalDoesNotShowThatACallHasNotRun(t *testing.T) {
	id := dispatch.Identity{Request: "r", Stage: "s", Attempt: 1}
	call := dispatch.Call{Identity: id, Target: "t", Addr: targetAddr, Path: "/x", Body: []byte("{}"), Echoes: true, RefusalStatuses: []int{503}}
	head := "HTTP/1.1 503 Service Unavailable\r\n" + dispatch.IdentityHeader + ": " + id.String() + "\r\n"
	for name, tc := range map[string]struct {
		answer string
		end    cutconn.End
		want   verdict.Verdict
	}{
		"whole":               {head + "Content-Length: 4\r\n\r\nbusy", cutconn.Ends[0], verdict.NotRun},
		"whole, no length":    {head + "\r\nbusy", cutconn.Ends[0], verdict.NotRun},
		"malformed":           {head + "X y: z\r\nContent-Length: 4\r\n\r\nbusy", cutconn.Ends[0], verdict.MayHaveRun},
		"cut within its body": {head + "Content-Length: 9\r\n\r\nbusy", cutconn.Ends[0], verdict.MayHaveRun},
		"cut within a chunk":  {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nbusy", cutconn.Ends[0], verdict.MayHaveRun},
		"reset":               {head + "\r\nbusy", cutconn.Ends[1], verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			c := dispatch.New(cutconn.Dial(tc.answer, tc.end), 1<<20, intake.NewBudget(0))
			defer c.Close()
			_, err := c.Do(t.Context(), call)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, verdict.Of(err), qt.Equals, tc.want)
		})
	}
}
