package dispatch

import (
	"bufio"
	"bytes"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/verdict"
)

// TestSealForbidsLaterWrites guards against a transport that still writes a call
// after it was proved that nothing of the call was written.
func TestSealForbidsLaterWrites(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	cn := &conn{Conn: client}
	h := &connLog{conns: []mark{{conn: cn, written: 0}}}
	c.Assert(h.nothingWritten(), qt.IsTrue)
	_, err := cn.Write([]byte("POST"))
	c.Assert(err, qt.Equals, errSealed)
}

func TestWrittenByteIsNoProof(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	cn := &conn{Conn: client}
	go func() { _, _ = server.Read(make([]byte, 1)) }()
	_, err := cn.Write([]byte("P"))
	c.Assert(err, qt.IsNil)
	h := &connLog{conns: []mark{{conn: cn, written: 0}}}
	c.Assert(h.nothingWritten(), qt.IsFalse)
	unknown := &connLog{untracked: true}
	c.Assert(unknown.nothingWritten(), qt.IsFalse)
}

func FuzzReadStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\",\"token_index\":0}]}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		next := 0
		_, err := readStream(&lineReader{br: bufio.NewReader(bytes.NewReader(b)), room: func(int64) bool { return true }}, 0, func() {}, func(tok Token) error {
			if tok.Index != next {
				t.Fatalf("token %d came as number %d", tok.Index, next)
			}
			next++
			return nil
		}, Call{})
		if err != nil && verdict.Of(err) != verdict.MayHaveRun {
			t.Fatalf("a broken stream has verdict %v", verdict.Of(err))
		}
	})
}
