// Package catalog defines what operators submit: templates of pipelines and
// the client accounts that fill them in. It validates a whole configuration
// and compiles it into immutable plans. It does no I/O.
package catalog

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/strictjson"
)

// Class is a priority class. A lower value is served first.
type Class uint8

// The priority classes.
const (
	Urgent Class = iota
	Standard
	Batch
)

// Classes is the number of priority classes.
const Classes = 3

var classNames = [Classes]string{"urgent", "standard", "batch"}

// String returns the name used in templates and in the caller API.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass reads the name of a class.
func ParseClass(s string) (Class, error) {
	i := slices.Index(classNames[:], s)
	if i < 0 {
		return 0, eris.Errorf("%q is not a priority class: write urgent, standard or batch", s)
	}
	return Class(i), nil
}

// MarshalJSON implements json.Marshaler.
func (c Class) MarshalJSON() ([]byte, error) { return json.Marshal(c.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (c *Class) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.New("write urgent, standard or batch")
	}
	v, err := ParseClass(s)
	if err != nil {
		return err
	}
	*c = v
	return nil
}

// Template is a pipeline with parameters that many accounts share.
type Template struct {
	// Name is unique among templates.
	Name string `json:"name" need:"true"`
	// Parameters are the values that an account fills in.
	Parameters []Parameter `json:"parameters"`
	// Pipeline is a Pipeline in which a string "${name}" stands for the value
	// of a parameter.
	Pipeline any `json:"pipeline" need:"true"`
}

// ParamType is the type of a parameter.
type ParamType string

// The types of parameters.
const (
	StringParam   ParamType = "string"
	IntParam      ParamType = "int"
	BoolParam     ParamType = "bool"
	DurationParam ParamType = "duration"
)

// Parameter declares one value of a template.
type Parameter struct {
	// Name is what "${name}" refers to.
	Name string `json:"name" need:"true"`
	// Type is string, int, bool or duration.
	Type ParamType `json:"type" need:"true"`
	// Default is used when an account gives no value; without it the value
	// must be given.
	Default any `json:"default,omitempty"`
	// OneOf limits a string to these values.
	OneOf []string `json:"one_of,omitempty"`
	// Min and Max bound an int.
	Min *int64 `json:"min,omitempty"`
	Max *int64 `json:"max,omitempty"`
}

// Pipeline is what one request runs through.
type Pipeline struct {
	// Class is the priority class.
	Class Class `json:"class" need:"true"`
	// Deadline is the time from arrival to the complete answer.
	Deadline strictjson.Duration `json:"deadline" need:"true"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Stages run one after another; each sees the results of those before.
	Stages []Stage `json:"stages" need:"true"`
}

// Stage is one step of a pipeline.
type Stage struct {
	// Name is unique within the pipeline.
	Name string `json:"name" need:"true"`
	// Pool is the pool of targets that serves the stage.
	Pool string `json:"pool" need:"true"`
	// Model and Adapter must be loaded at the target; empty for any.
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// MaxTokens bounds the output of a generate stage.
	MaxTokens int `json:"max_tokens"`
	// TopK is the number of documents that a retrieve or rerank stage keeps.
	TopK int `json:"top_k"`
	// Attempts is the most attempts at an idempotent request. Default 3.
	Attempts int `json:"attempts"`
}

// Account is a client account.
type Account struct {
	// Name is unique among accounts.
	Name string `json:"name" need:"true"`
	// TokensSHA256 are the SHA-256 hashes, in hex, of the account's tokens.
	TokensSHA256 []string `json:"tokens_sha256" need:"true"`
	// RatePerSecond is the rate of requests over all nodes; 0 for no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Concurrent is the most requests in flight at one node; 0 for no limit.
	Concurrent int `json:"concurrent,omitempty"`
	// Pipelines are the templates that the account uses.
	Pipelines []Binding `json:"pipelines" need:"true"`
}

// Binding fills in a template for an account.
type Binding struct {
	// Name is the pipeline's name in the caller API.
	Name string `json:"name" need:"true"`
	// Template names the template.
	Template string `json:"template" need:"true"`
	// Parameters gives the template's values.
	Parameters map[string]any `json:"parameters,omitempty"`
}

// Kind says what an Item of a change is.
type Kind string

// The kinds of items.
const (
	TemplateItem Kind = "template"
	AccountItem  Kind = "account"
	DrainItem    Kind = "drain"
	// DataCentreDrainItem drains all target hosts of a data centre.
	DataCentreDrainItem Kind = "data_centre_drain"
	StopItem            Kind = "stop"
)

// Item is one created, replaced or deleted object of a change.
type Item struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Value is the new object; empty when it is deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Key returns the row key of the item's object.
func (i Item) Key() string { return string(i.Kind) + "/" + i.Name }

// Change is one accepted change of the configuration and its audit record.
type Change struct {
	// Revision is the revision that the change made; it grows by one.
	Revision int64 `json:"revision"`
	// ID is unique to the submission, so that a lost reply can be settled.
	ID string `json:"id"`
	// By is the operator, At the time of submission.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Note is the operator's reason.
	Note  string `json:"note,omitempty"`
	Items []Item `json:"items"`
}

// Drain is an operator's order that a target host gets no new work.
type Drain struct {
	// Host is the ID of the target host.
	Host string `json:"host" need:"true"`
	// Reason is for other operators.
	Reason string `json:"reason"`
}

// DataCentreDrain is an operator's order that the target hosts of a data centre get no new
// work, those that come meanwhile included.
type DataCentreDrain struct {
	DataCentre string `json:"data_centre" need:"true"`
	// Reason is for other operators.
	Reason string `json:"reason"`
}

// Stop is an operator's order that a node stops gracefully at a time.
type Stop struct {
	// Node is the name of the node. A process that was started after At ignores
	// the order.
	Node string    `json:"node" need:"true"`
	At   time.Time `json:"at" need:"true"`
}

// Manifest is what an operator submits in one file: objects to create or
// replace and names to delete.
type Manifest struct {
	Templates      []Template `json:"templates"`
	Accounts       []Account  `json:"accounts"`
	DeleteTemplate []string   `json:"delete_templates"`
	DeleteAccount  []string   `json:"delete_accounts"`
}

// ParseManifest reads a manifest from JSON with comments. The error is a
// strictjson.Problems with every fault of the form.
func ParseManifest(src []byte) (Manifest, error) {
	var m Manifest
	err := strictjson.Decode(src, &m)
	return m, err
}

// Items returns the manifest as items of a change.
func (m Manifest) Items() ([]Item, error) {
	var items []Item
	for _, t := range m.Templates {
		v, err := json.Marshal(t)
		if err != nil {
			return nil, eris.Wrap(err, "encode template")
		}
		items = append(items, Item{Kind: TemplateItem, Name: t.Name, Value: v})
	}
	for _, a := range m.Accounts {
		v, err := json.Marshal(a)
		if err != nil {
			return nil, eris.Wrap(err, "encode account")
		}
		items = append(items, Item{Kind: AccountItem, Name: a.Name, Value: v})
	}
	for _, n := range m.DeleteTemplate {
		items = append(items, Item{Kind: TemplateItem, Name: n})
	}
	for _, n := range m.DeleteAccount {
		items = append(items, Item{Kind: AccountItem, Name: n})
	}
	return items, nil
}
