package peer

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"
	"pgregory.net/rapid"
)

// frameOf returns an encoded yamux frame.
func frameOf(kind byte, stream, length uint32, body []byte) []byte {
	b := make([]byte, headerLen, headerLen+len(body))
	b[typeOffset] = kind
	binary.BigEndian.PutUint32(b[4:], stream)
	binary.BigEndian.PutUint32(b[lengthOffset:], length)
	return append(b, body...)
}

// partialFrame returns a data frame of the first stream in two parts, split within the body: the part
// that a paused peer has sent, and the rest.
func partialFrame() (sent, rest []byte) {
	whole := frameOf(typeData, 1, 100, make([]byte, 100))
	return whole[:headerLen+10], whole[headerLen+10:]
}

// TestDeadlineHoldsInTheMidstOfAFrame guards against reads that wait for the rest of an incomplete
// frame beyond their deadline.
func TestDeadlineHoldsInTheMidstOfAFrame(t *testing.T) {
	c := quicktest.New(t)
	here, there := net.Pipe()
	m, err := newMux(here, true, nil)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = m.Close() })
	go func() { _, _ = io.Copy(io.Discard, there) }()
	st, err := m.OpenStream()
	c.Assert(err, quicktest.IsNil)
	sent, rest := partialFrame()
	// Two writes: once the second one returns, the session's connection has read the header.
	for _, part := range [][]byte{sent[:headerLen], sent[headerLen:]} {
		_, err = there.Write(part)
		c.Assert(err, quicktest.IsNil)
	}
	st.SetDeadline(pastDeadline)
	_, err = st.Read(make([]byte, 1))
	c.Assert(err, quicktest.Equals, yamux.ErrTimeout)

	// The connection works again once the rest of the frame arrives.
	st.SetDeadline(time.Time{})
	_, err = there.Write(rest)
	c.Assert(err, quicktest.IsNil)
	got := make([]byte, 100)
	_, err = io.ReadFull(st, got)
	c.Assert(err, quicktest.IsNil)
}

// TestWholeFramesArePassedOnUnchanged checks that reads return the bytes of all complete frames
// unchanged, however the connection splits them.
func TestWholeFramesArePassedOnUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var sent []byte
		for range rapid.IntRange(0, 8).Draw(rt, "frames") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "body")
			if rapid.IntRange(0, 5).Draw(rt, "long") == 0 {
				body = make([]byte, rapid.IntRange(4000, 70_000).Draw(rt, "length"))
			}
			kind := rapid.SampledFrom([]byte{typeData, 1, 2, 3}).Draw(rt, "kind")
			length := uint32(len(body))
			if kind != typeData {
				body, length = nil, rapid.Uint32().Draw(rt, "value")
			}
			sent = append(sent, frameOf(kind, 1, length, body)...)
		}
		whole := len(sent)
		half, _ := partialFrame()
		sent = append(sent, half[:rapid.IntRange(0, len(half)).Draw(rt, "half")]...)
		here, there := net.Pipe()
		go func() {
			for len(sent) > 0 {
				n := min(len(sent), rapid.IntRange(1, 9000).Draw(rt, "part"))
				_, _ = there.Write(sent[:n])
				sent = sent[n:]
			}
			_ = there.Close()
		}()
		want := append([]byte(nil), sent[:whole]...)
		got, err := io.ReadAll(iotest.OneByteReader(&frameConn{Conn: here, maxBody: 100_000}))
		if err != nil {
			rt.Fatal(err)
		}
		if string(got) != string(want) {
			rt.Fatalf("%d bytes of %d", len(got), len(want))
		}
	})
}

// TestFrameOverTheWindowEndsTheSession guards against a peer that makes a node allocate memory for
// frames longer than the stream window.
func TestFrameOverTheWindowEndsTheSession(t *testing.T) {
	c := quicktest.New(t)
	here, there := net.Pipe()
	go func() { _, _ = there.Write(frameOf(typeData, 1, 1<<31, nil)) }()
	_, err := (&frameConn{Conn: here, maxBody: 1 << 18}).Read(make([]byte, 1))
	c.Assert(err, quicktest.Equals, errFrameTooLong)
}
