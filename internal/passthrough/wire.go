// Package passthrough serves requests whose last call is the caller's own HTTP message. After
// the stages of its route have run, the message is sent to a target with its bytes unchanged,
// and the target's response is returned with its bytes unchanged. A request passes through
// accept (route, client account, body), admission, stages, send and delivery. The step at
// which it ends sends its only response.
package passthrough

import (
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"topazmoor/internal/poison"
	"topazmoor/internal/promptcache"
	"topazmoor/internal/readiness"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/targets"
)

// Meta holds what the headers of a caller say about its request.
type Meta struct {
	// ID is the request's ID; each attempt of a caller has its own.
	ID string
	// CallerTimeout is how long the caller waits; 0 for unknown.
	CallerTimeout time.Duration
	// Credential identifies the client account; "" for none.
	Credential string
	// Prompt is set for requests to model engines.
	Prompt *Prompt
	// Pieces is the number of results of each stage; 0 skips a stage.
	Pieces []int
	// PieceKey is passed to the stages that read no results.
	PieceKey string
	// LastEvent is the last event that the caller has; "" for none.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this
	// request resumes; "" for none or unknown.
	Resumes string
	// VersionBound reports that only a target with certain weights may run the request. Other
	// targets answer as if another process had their address.
	VersionBound bool
}

// Prompt describes the prompt of a request.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// Parts are the parts of the prompt in order. Requests share parts; the last part belongs to
	// the request or its session.
	Parts []promptcache.Part
}

// shared returns the parts that other requests may share: all but the last one. It is nil if there is no
// prompt.
func (p *Prompt) shared() []poison.Part {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	out := make([]poison.Part, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		if id := poison.Part(part.ID); !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// LogValue implements slog.LogValuer by the IDs of the parts, in hexadecimal.
func (p *Prompt) LogValue() slog.Value {
	if p == nil {
		return slog.AnyValue(nil)
	}
	ids := make([]string, 0, min(len(p.Parts), maxLoggedParts))
	for _, part := range p.Parts[:cap(ids)] {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return slog.AnyValue(ids)
}

// Outgoing holds what the node adds to a request that is sent to a target.
type Outgoing struct {
	// Target is the ID of the process that must answer.
	Target string
	// Account is the client account; "" for none.
	Account string
	// Remaining is how long the response is of use.
	Remaining time.Duration
	// Rank is the request's rank of urgency; 0 is the most urgent.
	Rank int
	// Inputs are the handles of the results of the final stages; nil for a request without.
	Inputs []string
	// LastEvent, when set, makes the target go on after that event.
	LastEvent string
	// CopyFrom is the address of another engine from which the target copies the part of the
	// prompt's cache that it lacks; "" for none.
	CopyFrom string
}

// ResponseMeta holds what the headers of a target say about its response and itself.
type ResponseMeta struct {
	// NotRun reports that the target did not run the request.
	NotRun bool
	// Moved reports that another process has the address.
	Moved bool
	// Signed reports that the response carries the target's signature.
	Signed bool
	// InputGone reports that a stage result no longer exists.
	InputGone bool
	// Load is the target's load; nil if it does not report any.
	Load *targets.Load
	// Notice is the target's announcement of whether it accepts requests.
	Notice readiness.Notice
	// Limit is the rate of requests that the target advertises as its limit.
	Limit sharedrate.AdvertisedLimit
}

// Wire translates between HTTP headers and the types above; package platform implements it.
type Wire interface {
	// ReadMeta reads the headers of a caller. Its error states what is wrong with them.
	ReadMeta(h http.Header) (Meta, error)
	// ToTarget returns the headers that are sent to a target: the caller's, without those of a
	// single connection and the credential, and those of the node.
	ToTarget(in http.Header, o Outgoing) http.Header
	// FromTarget reads the headers of a target's response.
	FromTarget(status int, h http.Header) ResponseMeta
	// ToCaller returns the headers of a response that are sent to the caller.
	ToCaller(h http.Header) http.Header
	// HolderAddr returns the address (IP:port) of the target that holds a stage result.
	HolderAddr(handle string) string
	// SetRetryAfter sets the retry delay in the headers of a refusal.
	SetRetryAfter(h http.Header, after time.Duration)
}
