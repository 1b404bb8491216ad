package dispatch_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/standin/memnet"
	"topazmoor/internal/verdict"
)

const targetAddr = "10.0.0.1:80"

// answer is a complete HTTP answer for a call with identity id.
func answer(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, dispatch.IdentityHeader, id, len(body), body)
}

// rawTarget accepts connections and calls serve for each request, with its number
// on the connection. serve writes any bytes as the answer and returns false to close
// the connection.
func rawTarget(t *testing.T, n *memnet.Network, serve func(c net.Conn, req *http.Request, number int) bool) *atomic.Int64 {
	t.Helper()
	ln, err := n.Listen(targetAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				rd := bufio.NewReader(c)
				for number := 0; ; number++ {
					req, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
					if !serve(c, req, number) {
						return
					}
				}
			}()
		}
	}()
	return &requests
}

func newCall() dispatch.Call {
	return dispatch.Call{
		Identity: dispatch.Identity{Request: "r1", Stage: "s", Attempt: 1},
		Target:   "t1", Addr: targetAddr, Path: "/v1/call", Body: []byte(`{}`),
		RefusalStatuses: []int{429}, Echoes: true,
	}
}

// TestVerdictOfEachEnd checks the verdict of each way in which a call can end.
func TestVerdictOfEachEnd(t *testing.T) {
	id := newCall().Identity.String()
	tests := []struct {
		name  string
		serve func(c net.Conn) bool
		want  verdict.Verdict
		code  verdict.Code
	}{
		{"answered", func(c net.Conn) bool { io.WriteString(c, answer("200 OK", id, `{"a":1}`)); return true }, verdict.Ran, ""},
		{"reset before the answer", func(net.Conn) bool { return false }, verdict.MayHaveRun, verdict.TargetFailed},
		{"cut in the head", func(c net.Conn) bool { io.WriteString(c, "HTTP/1.1 200 O"); return false }, verdict.MayHaveRun, verdict.TargetFailed},
		{"cut in the body", func(c net.Conn) bool {
			a := answer("200 OK", id, `{"a":1}`)
			io.WriteString(c, a[:len(a)-3])
			return false
		}, verdict.MayHaveRun, verdict.TargetFailed},
		{"body of unknown length cut", func(c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+dispatch.IdentityHeader+": "+id+"\r\nConnection: close\r\n\r\n{\"a\":")
			return false
		}, verdict.MayHaveRun, verdict.TargetFailed},
		{"not JSON", func(c net.Conn) bool { io.WriteString(c, answer("200 OK", id, "<html>")); return true }, verdict.MayHaveRun, verdict.TargetFailed},
		{"documented refusal", func(c net.Conn) bool { io.WriteString(c, answer("429 Too Many", id, "{}")); return true }, verdict.NotRun, verdict.TargetRefused},
		{"refusal of another call", func(c net.Conn) bool { io.WriteString(c, answer("429 Too Many", "r2/s/1", "{}")); return true }, verdict.MayHaveRun, verdict.WrongAnswer},
		{"undocumented 503", func(c net.Conn) bool { io.WriteString(c, answer("503 Unavailable", id, "{}")); return true }, verdict.MayHaveRun, verdict.TargetFailed},
		{"server error", func(c net.Conn) bool { io.WriteString(c, answer("500 Error", id, "{}")); return true }, verdict.MayHaveRun, verdict.TargetFailed},
		{"redirect", func(c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 307 Temporary\r\nLocation: /again\r\n"+dispatch.IdentityHeader+": "+id+"\r\nContent-Length: 0\r\n\r\n")
			return true
		}, verdict.MayHaveRun, verdict.TargetFailed},
		{"answer of another call", func(c net.Conn) bool { io.WriteString(c, answer("200 OK", "r2/s/1", `{"a":1}`)); return true }, verdict.MayHaveRun, verdict.WrongAnswer},
		{"answer of another attempt", func(c net.Conn) bool { io.WriteString(c, answer("200 OK", "r1/s/2", `{"a":1}`)); return true }, verdict.MayHaveRun, verdict.WrongAnswer},
		{"no answer in time", func(c net.Conn) bool { io.Copy(io.Discard, c); return false }, verdict.MayHaveRun, verdict.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := memnet.New()
				requests := rawTarget(t, n, func(conn net.Conn, _ *http.Request, _ int) bool { return tt.serve(conn) })
				cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
				defer cl.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := cl.Do(ctx, newCall())
				c.Assert(verdict.Of(err), qt.Equals, tt.want, qt.Commentf("%v", err))
				if err != nil {
					c.Assert(verdict.CodeOf(err), qt.Equals, tt.code, qt.Commentf("%v", err))
				}
				c.Assert(requests.Load(), qt.Equals, int64(1))
				if tt.code == verdict.WrongAnswer {
					c.Assert(cl.WrongAnswers(), qt.Equals, int64(1))
				}
			})
		})
	}
}

func TestDialRefusedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := dispatch.New(memnet.New().DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
		_, err := cl.Do(t.Context(), newCall())
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.TargetFailed)
	})
}

// TestResetWhileTheBodyIsSent closes the connection after part of the request.
func TestResetWhileTheBodyIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := memnet.New()
		ln, err := n.Listen(targetAddr)
		c.Assert(err, qt.IsNil)
		defer ln.Close()
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 200))
			conn.Close()
		}()
		cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
		defer cl.Close()
		call := newCall()
		call.Body = []byte(`"` + strings.Repeat("x", 100_000) + `"`)
		_, err = cl.Do(t.Context(), call)
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.TargetFailed)
	})
}

func TestCancelDuringDialIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var dialed atomic.Bool
		release := make(chan struct{})
		defer close(release)
		dial := func(context.Context, string, string) (net.Conn, error) {
			dialed.Store(true)
			<-release
			return nil, net.ErrClosed
		}
		cl := dispatch.New(dial, 1<<20, intake.NewBudget(0))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := cl.Do(ctx, newCall())
		c.Assert(dialed.Load(), qt.IsTrue)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.DeadlineExceeded)
	})
}

// TestReusedConnectionThatDiesIsNotReplayed covers the case in which net/http
// retries a request by itself: a reused connection that breaks after the request was
// written and before an answer.
func TestReusedConnectionThatDiesIsNotReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := memnet.New()
		id := newCall().Identity.String()
		requests := rawTarget(t, n, func(conn net.Conn, _ *http.Request, number int) bool {
			if number > 0 {
				return false
			}
			io.WriteString(conn, answer("200 OK", id, `{}`))
			return true
		})
		cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
		defer cl.Close()
		_, err := cl.Do(t.Context(), newCall())
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		_, err = cl.Do(t.Context(), newCall())
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		c.Assert(requests.Load(), qt.Equals, int64(2))
	})
}

// TestPlainClientWouldReplay checks that net/http does retry in that case: with a
// plain http.Client, a rewindable body and an idempotency key the second request is
// sent twice.
func TestPlainClientWouldReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := memnet.New()
		requests := rawTarget(t, n, func(conn net.Conn, _ *http.Request, number int) bool {
			if number > 0 {
				return false
			}
			io.WriteString(conn, answer("200 OK", "x", `{}`))
			return true
		})
		tr := &http.Transport{DialContext: n.DialFrom("10.0.0.9")}
		defer tr.CloseIdleConnections()
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, "http://"+targetAddr+"/", strings.NewReader("{}"))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := (&http.Client{Transport: tr}).Do(req)
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			synctest.Wait()
		}
		c.Assert(requests.Load(), qt.Equals, int64(3))
	})
}

// streamTarget answers each request with events; "stall" stops the answer until the
// client closes the connection.
func streamTarget(t *testing.T, n *memnet.Network, events ...string) {
	rawTarget(t, n, func(conn net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+dispatch.IdentityHeader+": "+newCall().Identity.String()+"\r\nConnection: close\r\n\r\n")
		for _, e := range events {
			if e == "stall" {
				_, _ = io.Copy(io.Discard, conn)
			}
			io.WriteString(conn, "data: "+e+"\n\n")
		}
		return false
	})
}

func token(i int) string { return fmt.Sprintf(`{"choices":[{"text":"t%d","token_index":%d}]}`, i, i) }

// TestStreamPassesNoGapAndNoDoubledToken checks that the caller only receives the
// next token in order, and that only a stream with the end mark is complete.
func TestStreamPassesNoGapAndNoDoubledToken(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		tokens int
		code   verdict.Code
	}{
		{"complete", []string{token(0), token(1), "[DONE]"}, 2, ""},
		{"cut", []string{token(0)}, 1, verdict.TargetFailed},
		{"doubled", []string{token(0), token(0), "[DONE]"}, 1, verdict.WrongAnswer},
		{"gap", []string{token(0), token(2), "[DONE]"}, 1, verdict.WrongAnswer},
		{"stalled", []string{token(0), "stall", token(1)}, 1, verdict.TargetFailed},
		{"garbage", []string{token(0), "{"}, 1, verdict.TargetFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := memnet.New()
				streamTarget(t, n, tt.events...)
				cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
				var got []dispatch.Token
				err := cl.Stream(t.Context(), newCall(), 0, dispatch.Stall{First: time.Second, Next: time.Second}, func(tok dispatch.Token) error {
					got = append(got, tok)
					return nil
				})
				c.Assert(got, qt.HasLen, tt.tokens)
				if tt.code == "" {
					c.Assert(err, qt.IsNil)
					return
				}
				c.Assert(verdict.CodeOf(err), qt.Equals, tt.code, qt.Commentf("%v", err))
				c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
			})
		})
	}
}

func TestStreamReturnsTheCallersError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := memnet.New()
		streamTarget(t, n, token(0), token(1), "[DONE]")
		cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
		left := errors.New("caller left")
		err := cl.Stream(t.Context(), newCall(), 0, dispatch.Stall{First: time.Second, Next: time.Second}, func(dispatch.Token) error { return left })
		c.Assert(err, qt.Equals, left)
	})
}

// TestLateRefusalWithoutIdentityIsNoProof guards against a second, late copy of a refusal that shows the next call to
// the target as not run.
func TestLateRefusalWithoutIdentityIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const refusal = "HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n"
		n := memnet.New()
		var calls, ran atomic.Int64
		rawTarget(t, n, func(conn net.Conn, _ *http.Request, number int) bool {
			if calls.Add(1) == 1 {
				io.WriteString(conn, refusal)
				return true
			}
			ran.Add(1)
			if number > 0 {
				io.WriteString(conn, refusal)
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}")
			return true
		})
		cl := dispatch.New(n.DialFrom("10.0.0.9"), 1<<20, intake.NewBudget(0))
		defer cl.Close()
		call := newCall()
		call.Echoes = false
		_, err := cl.Do(t.Context(), call)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		_, err = cl.Do(t.Context(), call)
		c.Check(ran.Load(), qt.Equals, int64(1))
		c.Check(verdict.Of(err), qt.Equals, verdict.Ran, qt.Commentf("%v", err))
	})
}
