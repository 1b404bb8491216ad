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

// Paths of the targets' HTTP interfaces, in the shapes that model servers
// commonly offer.
const (
	PathEncode   = "/v1/embeddings"
	PathRetrieve = "/v1/retrieve"
	PathRerank   = "/v1/rerank"
	PathGenerate = "/v1/completions"
)

// EncodeRequest and EncodeResponse are the bodies of an encode call.
type EncodeRequest struct {
	Model string `json:"model,omitempty"`
	Input string `json:"input"`
}

// EncodeResponse is the answer of an encoder.
type EncodeResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is one vector.
type Embedding struct {
	Embedding []float64 `json:"embedding"`
}

// RetrieveRequest is the body of a retrieve call.
type RetrieveRequest struct {
	Embedding []float64 `json:"embedding,omitempty"`
	Query     string    `json:"query"`
	TopK      int       `json:"top_k"`
}

// RetrieveResponse is the answer of a retriever.
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

// RerankResponse is the answer of a reranker.
type RerankResponse struct {
	Results []RerankResult `json:"results"`
}

// RerankResult refers to a document of the request.
type RerankResult struct {
	Index          int     `json:"index"`
	RelevanceScore float64 `json:"relevance_score"`
}

// GenerateRequest is the body of a completions call to an engine.
type GenerateRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// Priority is lower for more urgent work, as engines expect it.
	Priority  int  `json:"priority"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Resume holds the tokens that were already received of this generation;
	// the engine continues after them.
	Resume []string `json:"resume,omitempty"`
}

// ServiceRequest is the body of a call to a plain service.
type ServiceRequest struct {
	Input json.RawMessage `json:"input"`
	// Results holds the results of earlier stages by name.
	Results map[string]json.RawMessage `json:"results,omitempty"`
}

// data is what flows from stage to stage.
type data struct {
	input     json.RawMessage
	query     string
	embedding []float64
	documents []string
	output    json.RawMessage
	results   map[string]json.RawMessage
}

func newData(input json.RawMessage) *data {
	d := &data{input: input, results: make(map[string]json.RawMessage)}
	if json.Unmarshal(input, &d.query) != nil {
		d.query = string(input)
	}
	return d
}

// prompt is what a generate stage sees.
func (d *data) prompt() string {
	return strings.Join(append(append([]string{}, d.documents...), d.query), "\n")
}

// prefixLen is how much of a prompt is hashed for prefix affinity, in bytes.
const prefixLen = 256

func (d *data) prefix(st *catalog.PlanStage) uint64 {
	if st.Kind != settings.Generate {
		return 0
	}
	p := d.prompt()
	return xxhash.Sum64String(st.Model + "\x00" + st.Adapter + "\x00" + p[:min(len(p), prefixLen)])
}

// body returns the path and body of the call of one stage.
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

// take stores the answer of a stage.
func (d *data) take(st *catalog.PlanStage, answer []byte) error {
	var err error
	switch st.Kind {
	case settings.Encode:
		err = d.takeEmbedding(answer)
	case settings.Retrieve:
		var r RetrieveResponse
		err = json.Unmarshal(answer, &r)
		d.documents = r.Documents
	case settings.Rerank:
		err = d.takeRanking(answer)
	}
	if err != nil {
		return eris.Wrapf(err, "answer of stage %s", st.Name)
	}
	d.output = answer
	d.results[st.Name] = answer
	return nil
}

func (d *data) takeEmbedding(answer []byte) error {
	var r EncodeResponse
	if err := json.Unmarshal(answer, &r); err != nil {
		return err
	}
	if len(r.Data) == 0 {
		return eris.New("no embedding")
	}
	d.embedding = r.Data[0].Embedding
	return nil
}

func (d *data) takeRanking(answer []byte) error {
	var r RerankResponse
	if err := json.Unmarshal(answer, &r); err != nil {
		return err
	}
	ranked := make([]string, 0, len(r.Results))
	for _, res := range r.Results {
		if res.Index < 0 || res.Index >= len(d.documents) {
			return eris.Errorf("document %d does not exist", res.Index)
		}
		ranked = append(ranked, d.documents[res.Index])
	}
	d.documents = ranked
	return nil
}

// takeTokens stores the whole text of a generate stage.
func (d *data) takeTokens(st *catalog.PlanStage, tokens []string) error {
	answer, err := json.Marshal(Generation{Text: strings.Join(tokens, ""), Tokens: len(tokens)})
	if err != nil {
		return eris.Wrap(err, "encode generation")
	}
	return d.take(st, answer)
}

// Generation is the result of a generate stage.
type Generation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

func (r *Request) generateBody(st *catalog.PlanStage, d *data, got []string) GenerateRequest {
	return GenerateRequest{
		Model: st.Model, Adapter: st.Adapter, Prompt: d.prompt(),
		Priority: int(r.Class), MaxTokens: st.MaxTokens, Stream: true, Resume: got,
	}
}

func (r *Request) identity(st *catalog.PlanStage, attempt int) dispatch.Identity {
	return dispatch.Identity{Request: r.ID, Stage: st.Name, Attempt: attempt}
}
