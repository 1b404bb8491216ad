package httpanswer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/standin/cutconn"
)

// TestResetDuringAnUploadIsNoEndOfATransportsAnswer guards users of net/http against an answer that a reset has cut, where only the write
// was told of the reset.
func TestResetDuringAnUploadIsNoEndOfATransportsAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	client := &http.Client{Transport: httpanswer.NewTransport(httpanswer.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return cutconn.WriterFirst(conn), nil
	}})}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("u", 32<<20)))
	var got []byte
	if err == nil {
		got, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q was taken for the whole answer", got))
}
