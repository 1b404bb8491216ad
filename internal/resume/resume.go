// Package resume keeps at which version of the targets' software a stream began, so that a caller who
// resumes the stream at another node gets the rest from targets of that version: what two versions
// write does not fit together. The node that serves a stream sends a record of it to three other nodes,
// chosen by the ID of the caller's attempt; any node can ask them. While a service has several versions, the records of
// its streams are also kept in the store, for a loss of all nodes. Source: docs/design/030-versions-of-streams.md.
package resume

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/region"
)

// ErrUnknown: nobody knows at which version the stream began.
var ErrUnknown = errors.New("resume: the version that began the stream is not known")

// ErrUnconfirmed: those who might know at which version the stream began do not answer, or have started lately.
var ErrUnconfirmed = errors.New("resume: not all who may know at which version the stream began have answered")

// ErrOtherVersion: the targets of the service have another version than the one to confirm.
var ErrOtherVersion = errors.New("resume: the service has another version")

// Stream is a stream of a caller.
type Stream struct {
	// ID is the ID of the caller's attempt that brought the first event.
	ID      string
	Service string
	// Regions are the regions in which the request may be served, and its record kept.
	Regions region.Set
	// Deadline is when the caller gives the stream up.
	Deadline time.Time
	// MaxAge is how long ago a stream that is resumed may have begun.
	MaxAge time.Duration
}

// Origin is where a stream began.
type Origin struct {
	Service, Version string
}

// Record says where a stream began.
type Record struct {
	ID string
	Origin
	// Expires is when the record is no longer of use.
	Expires time.Time
	// Complete is set once the whole answer has left the node that served the stream. The record is then kept in the
	// memory of nodes only.
	Complete bool
}

// Answer is what a node knows of a stream.
type Answer struct {
	// Known is set if the node has a record of the stream.
	Known bool
	// Origin is that of the record if there is one, else the only version of the service that the node knows of;
	// without a service if it knows of none or several.
	Origin
	// Followed is for how long the node has followed the list of targets without a gap. It knows the versions that the
	// targets have had meanwhile.
	Followed time.Duration
	// Several is set if the targets of the service have had several versions lately.
	Several bool
	// StoreRead is set if the node has read the store's records of the stream's partition since it was asked, or shortly
	// before.
	StoreRead bool
}

// Node is another node.
type Node struct {
	Name, Addr, DataCentre string
}

// Remote calls other nodes.
type Remote interface {
	SendStreams(ctx context.Context, addr string, records []Record) error
	FindStream(ctx context.Context, addr, id, service string) (Answer, error)
}
