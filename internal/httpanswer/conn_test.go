package httpanswer

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// script is a connection whose calls return what it says.
type script struct {
	net.Conn
	reads []error
	// write returns what a write returns, after the deadline has passed if that is awaited.
	write func(expired <-chan struct{}) error
	// expired is closed once a deadline for writes is set.
	expired chan struct{}
}

func (s *script) Read(p []byte) (int, error) {
	err := s.reads[0]
	s.reads = s.reads[1:]
	if err != nil {
		return 0, err
	}
	return copy(p, "x"), nil
}

func (s *script) Write([]byte) (int, error) { return 0, s.write(s.expired) }

func (s *script) SetWriteDeadline(time.Time) error {
	close(s.expired)
	return nil
}

// definite is a script that is Definite.
type definite struct{ *script }

func (definite) EndIsDefinite() {}

// writeError is the error of a write, as the kernel reports it.
func writeError(err error) error { return &net.OpError{Op: "write", Net: "tcp", Err: err} }

func TestEndDuringAWriteIsJudgedByTheWrite(t *testing.T) {
	for name, tc := range map[string]struct {
		write error
		want  error
	}{
		"the write was told of a reset":   {writeError(syscall.ECONNRESET), ErrBrokenOff},
		"the write was told of a timeout": {writeError(syscall.ETIMEDOUT), ErrBrokenOff},
		"the reset came after the close":  {writeError(syscall.EPIPE), io.EOF},
		"the write was told of nothing":   {writeError(os.ErrDeadlineExceeded), io.EOF},
		"the write was done":              {nil, io.EOF},
		"the write failed otherwise":      {errors.New("other"), ErrBrokenOff},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{reads: []error{nil, io.EOF}, expired: make(chan struct{}), write: func(expired <-chan struct{}) error {
					<-expired
					return tc.write
				}}
				conn := NewConn(s)
				go func() { _, _ = conn.Write([]byte("x")) }()
				synctest.Wait()
				got, err := io.ReadAll(io.LimitReader(conn, 1))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(got), qt.Equals, "x")
				for range 2 {
					_, err = conn.Read(make([]byte, 1))
					qt.Assert(t, err, qt.Equals, tc.want)
				}
			})
		})
	}
}

// The kernel reports a reset once, so that a read after a failed one returns io.EOF.
func TestReadAfterAFailedOneFails(t *testing.T) {
	reset := &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	conn := NewConn(&script{reads: []error{reset, io.EOF}})
	for range 2 {
		_, err := conn.Read(make([]byte, 1))
		qt.Assert(t, err, qt.Equals, error(reset))
	}
}

func TestReadGoesOnAfterATimeout(t *testing.T) {
	conn := NewConn(&script{reads: []error{os.ErrDeadlineExceeded, nil}})
	_, err := conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
}

func TestDefiniteEndIsKept(t *testing.T) {
	conn := NewConn(definite{&script{reads: []error{io.EOF}, write: func(<-chan struct{}) error { return syscall.ECONNRESET }}})
	_, err := conn.Write([]byte(strings.Repeat("x", 10)))
	qt.Assert(t, err, qt.IsNotNil)
	_, err = conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}
