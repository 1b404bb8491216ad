package frontdoor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"topazmoor/internal/intake"
	"topazmoor/internal/strictjson"
	"topazmoor/internal/verdict"
)

const (
	// copiesOfBody is how many times the size of its body a call holds while it is served: the body, its input, and the
	// call of a target.
	copiesOfBody = 3
	// unlimitedDecode is the size up to which any number of bodies is decoded at a time, in bytes. The decoded form of
	// a body may take twenty times its size.
	unlimitedDecode = 4 << 10
	// maxDecodedInput is the size of the largest body whose input is decoded and encoded again, in bytes. The input of a
	// larger one is passed on as it is, without its white space.
	maxDecodedInput = 64 << 10
)

// ReadBody reads the body of a call within the server's limits. Its hold must be released once the call is served.
func (s *Server) ReadBody(w http.ResponseWriter, r *http.Request) (*intake.Body, error) {
	until := time.Now().Add(s.cfg.ReadTimeout)
	// Each call holds several copies of its body.
	limit := min(s.cfg.BodyBytes, s.cfg.Budget.BodyLimit(copiesOfBody*s.cfg.BodyBytes)/copiesOfBody)
	body, err := s.cfg.Budget.Read(w, r, limit, until)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	if verdict.CodeOf(err) == verdict.BodyTimeout {
		return nil, invalid("the body could not be read within %v", s.cfg.ReadTimeout)
	}
	if err != nil {
		return nil, err
	}
	if err := body.Hold().Grow(int64((copiesOfBody-1)*body.Len()), until); err != nil {
		body.Hold().Release()
		return nil, err
	}
	return body, nil
}

// Decode decodes the JSON body of a call. Larger ones are decoded one at a time.
func (s *Server) Decode(ctx context.Context, body []byte, out any) error {
	if len(body) > unlimitedDecode {
		select {
		case s.decoding <- struct{}{}:
			defer func() { <-s.decoding }()
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.Canceled, "the caller left")
		}
	}
	if len(body) > maxDecodedInput && !json.Valid(body) {
		// Smaller ones may hold comments, and get a reason that says where the fault is.
		return invalid("the body is not JSON")
	}
	if err := strictjson.Decode(body, out); err != nil {
		return invalid("%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return nil
}

// decodeRun decodes the body of a run call. It returns the input apart.
func (s *Server) decodeRun(ctx context.Context, body []byte) (runBody, json.RawMessage, error) {
	if len(body) > maxDecodedInput {
		return decodeLargeRun(body)
	}
	var b runBody
	if err := s.Decode(ctx, body, &b); err != nil {
		return runBody{}, nil, err
	}
	input, err := json.Marshal(b.Input)
	if err != nil {
		return runBody{}, nil, invalid("input: %v", err)
	}
	return b, input, nil
}

// decodeLargeRun decodes the body of a run call without decoding its input.
func decodeLargeRun(body []byte) (runBody, json.RawMessage, error) {
	var b struct {
		runBody
		Input json.RawMessage `json:"input"`
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return runBody{}, nil, invalid("%v", err)
	}
	if dec.More() {
		return runBody{}, nil, invalid("the body holds more than one value")
	}
	if b.Input == nil {
		return runBody{}, nil, invalid("input: is missing")
	}
	var input bytes.Buffer
	if err := json.Compact(&input, b.Input); err != nil {
		return runBody{}, nil, invalid("input: %v", err)
	}
	return b.runBody, input.Bytes(), nil
}
