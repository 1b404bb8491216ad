package pipeline

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/settings"
)

// Paths of the HTTP interfaces of targets, as model servers commonly have them.
const (
	PathEncode   = "/v1/embeddings"
	PathRetrieve = "/v1/retrieve"
	PathRerank   = "/v1/rerank"
	PathGenerate = "/v1/completions"
)

// EncodeRequest is the body of an encode call.
type EncodeRequest struct {
	Model string `json:"model,omitempty"`
	Input string `json:"input"`
}

// EncodeResponse is the response body of an encode call.
type EncodeResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is one embedding vector.
type Embedding struct {
	Embedding []float64 `json:"embedding"`
}

// RetrieveRequest is the body of a retrieve call.
type RetrieveRequest struct {
	Embedding []float64 `json:"embedding,omitempty"`
	Query     string    `json:"query"`
	TopK      int       `json:"top_k"`
}

// RetrieveResponse is the response body of a retrieve call.
type RetrieveResponse struct {
	Documents []string `json:"documents"`
}

// RerankRequest is the body of a rerank call.
type RerankRequest struct {
	Model     string   `json:"model,omitempty"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n,omitempty"`
}

// RerankResponse is the response body of a rerank call.
type RerankResponse struct {
	Results []RerankResult `json:"results"`
}

// RerankResult is one ranked document, identified by its index in the request.
type RerankResult struct {
	Index          int     `json:"index"`
	RelevanceScore float64 `json:"relevance_score"`
}

// GenerateRequest is the body of a completions call to an engine.
type GenerateRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// Priority is the priority class as a number: engines serve lower numbers first.
	Priority  int  `json:"priority"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Resume holds the tokens of this generation that were received from earlier
	// attempts; the engine continues after them.
	Resume []string `json:"resume,omitempty"`
}

// ServiceRequest is the body of a call to a service without a model-specific
// interface.
type ServiceRequest struct {
	Input json.RawMessage `json:"input"`
	// Results holds the results of earlier stages by stage name.
	Results map[string]json.RawMessage `json:"results,omitempty"`
}

// data is the data that stages read and write: the input, what the last stages of each
// kind returned, and the results of all stages by name. output is the result of the last
// stage.
type data struct {
	input     json.RawMessage
	query     string
	embedding []float64
	documents []string
	output    json.RawMessage
	results   map[string]json.RawMessage
}

// newData returns the data of a request before its first stage. The query is the input
// if that is a string, and its JSON text otherwise.
func newData(input json.RawMessage) *data {
	d := &data{input: input, results: make(map[string]json.RawMessage)}
	if json.Unmarshal(input, &d.query) != nil {
		d.query = string(input)
	}
	return d
}

// prompt returns the prompt of a generate stage: the documents and the query, one
// after the other.
func (d *data) prompt() string {
	return strings.Join(append(append([]string{}, d.documents...), d.query), "\n")
}

// prefixLen is the length in bytes of the prompt prefix that is hashed for prefix
// affinity.
const prefixLen = 256

// prefix returns the hash of the model, the adapter and the prompt's prefix; 0 for a
// stage that does not generate.
func (d *data) prefix(st *catalog.PlanStage) uint64 {
	if st.Kind != settings.Generate {
		return 0
	}
	p := d.prompt()
	return xxhash.Sum64String(st.Model + "\x00" + st.Adapter + "\x00" + p[:min(len(p), prefixLen)])
}

// body returns the URL path and the request body of the call for stage st, which is not a generate
// stage.
func (d *data) body(st *catalog.PlanStage, pool settings.Pool) (string, any) {
	switch st.Kind {
	case settings.Encode:
		return PathEncode, EncodeRequest{Model: st.Model, Input: d.query}
	case settings.Retrieve:
		return PathRetrieve, RetrieveRequest{Embedding: d.embedding, Query: d.query, TopK: st.TopK}
	case settings.Rerank:
		return PathRerank, RerankRequest{Model: st.Model, Query: d.query, Documents: d.documents, TopN: st.TopK}
	}
	return pool.Path, ServiceRequest{Input: d.input, Results: d.results}
}

// store parses and stores the answer of a stage.
func (d *data) store(st *catalog.PlanStage, answer []byte) error {
	var err error
	switch st.Kind {
	case settings.Encode:
		err = d.storeEmbedding(answer)
	case settings.Retrieve:
		var r RetrieveResponse
		err = json.Unmarshal(answer, &r)
		d.documents = r.Documents
	case settings.Rerank:
		err = d.storeRanking(answer)
	}
	if err != nil {
		return eris.Wrapf(err, "answer of stage %s", st.Name)
	}
	d.output = answer
	d.results[st.Name] = answer
	return nil
}

func (d *data) storeEmbedding(answer []byte) error {
	var r EncodeResponse
	if err := json.Unmarshal(answer, &r); err != nil {
		return err
	}
	if len(r.Data) == 0 {
		return eris.New("the response has no embedding")
	}
	d.embedding = r.Data[0].Embedding
	return nil
}

func (d *data) storeRanking(answer []byte) error {
	var r RerankResponse
	if err := json.Unmarshal(answer, &r); err != nil {
		return err
	}
	ranked := make([]string, 0, len(r.Results))
	for _, res := range r.Results {
		if res.Index < 0 || res.Index >= len(d.documents) {
			return eris.Errorf("the ranking refers to document %d, which the request does not have", res.Index)
		}
		ranked = append(ranked, d.documents[res.Index])
	}
	d.documents = ranked
	return nil
}

// storeTokens stores the complete text of a generate stage.
func (d *data) storeTokens(st *catalog.PlanStage, tokens []string) error {
	answer, err := json.Marshal(Generation{Text: strings.Join(tokens, ""), Tokens: len(tokens)})
	if err != nil {
		return eris.Wrap(err, "encode generation")
	}
	return d.store(st, answer)
}

// Generation is the result of a generate stage.
type Generation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

func (r *Request) generateBody(st *catalog.PlanStage, d *data, received []string) GenerateRequest {
	return GenerateRequest{
		Model: st.Model, Adapter: st.Adapter, Prompt: d.prompt(),
		Priority: int(r.Class), MaxTokens: st.MaxTokens, Stream: true, Resume: received,
	}
}

func (r *Request) identity(st *catalog.PlanStage, attempt int) dispatch.Identity {
	return dispatch.Identity{Request: r.ID, Stage: st.Name, Attempt: attempt}
}
