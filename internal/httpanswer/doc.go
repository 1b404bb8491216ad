// Package httpanswer defines what a well-formed and complete HTTP/1 answer is, for all that read answers: its status line, the
// names of its fields, its framing, and the end of its connection where it has neither a length nor chunks. What fails here is no
// answer: nothing in it says whether the request ran.
//
// Who owns connections reads heads with Read over a Conn; who uses net/http does so through a Transport.
package httpanswer
