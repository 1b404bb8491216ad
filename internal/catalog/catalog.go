// Package catalog defines the configuration that operators submit: templates of
// pipelines, the client accounts that use them, drains and stops. It validates a
// whole configuration and compiles it into immutable plans. It does no I/O.
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

// ParseClass returns the class with the given name.
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
	// Parameters are the values that an account provides.
	Parameters []Parameter `json:"parameters,omitzero"`
	// Pipeline is the JSON form of a Pipeline in which a string "${name}" is
	// replaced by the value of a parameter.
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
	// Name is the name in references "${name}".
	Name string `json:"name" need:"true"`
	// Type is string, int, bool or duration.
	Type ParamType `json:"type" need:"true"`
	// Default is used if an account gives no value; without a default a value is
	// required.
	Default any `json:"default,omitempty"`
	// OneOf limits a string to these values.
	OneOf []string `json:"one_of,omitempty"`
	// Min and Max bound an int.
	Min *int64 `json:"min,omitempty"`
	Max *int64 `json:"max,omitempty"`
}

// Pipeline is the sequence of stages that a request runs through, with its class
// and deadline.
type Pipeline struct {
	// Class is the priority class.
	Class Class `json:"class" need:"true"`
	// Deadline is the time from the arrival of a request to its complete
	// response.
	Deadline strictjson.Duration `json:"deadline" need:"true"`
	// Idempotent is true if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Regions are those in which the requests are served; left out for all. An account may
	// narrow them further. They hold for all stages, because each stage receives the
	// results of the earlier ones.
	Regions []string `json:"regions"`
	// Stages run one after another; each receives the results of the earlier
	// ones.
	Stages []Stage `json:"stages" need:"true"`
}

// Stage is one step of a pipeline.
type Stage struct {
	// Name is unique within the pipeline.
	Name string `json:"name" need:"true"`
	// Pool is the pool of targets that serves the stage.
	Pool string `json:"pool" need:"true"`
	// Model and Adapter must be loaded on the target; empty for any.
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	// MaxTokens is the maximum output of a generate stage, in tokens.
	MaxTokens int `json:"max_tokens"`
	// TopK is the number of documents that a retrieve or rerank
	// stage returns.
	TopK int `json:"top_k"`
	// Attempts is the maximum number of attempts at an idempotent request.
	// Default 3.
	Attempts int `json:"attempts"`
}

// Account is a client account.
type Account struct {
	// Name is unique among accounts.
	Name string `json:"name" need:"true"`
	// TokensSHA256 are the SHA-256 hashes, in hex, of the account's tokens.
	TokensSHA256 []string `json:"tokens_sha256" need:"true"`
	// RatePerSecond is the maximum rate of requests over all nodes; 0 for no
	// limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Concurrent is the maximum number of requests in flight at one node; 0 for
	// no limit.
	Concurrent int `json:"concurrent,omitempty"`
	// Regions are those in which the account's requests are served; left out for all.
	// A request is served where both the account and the pipeline allow it.
	Regions []string `json:"regions,omitzero"`
	// Pipelines are the templates that the account uses.
	Pipelines []Binding `json:"pipelines" need:"true"`
}

// Binding is the use of a template by an account, with parameter values.
type Binding struct {
	// Name is the pipeline's name in the caller API.
	Name string `json:"name" need:"true"`
	// Template is the name of the template.
	Template string `json:"template" need:"true"`
	// Parameters are the values of the template's parameters, by name.
	Parameters map[string]any `json:"parameters,omitempty"`
}

// Kind is the kind of object that an Item of a change concerns.
type Kind string

// The kinds of items.
const (
	TemplateItem Kind = "template"
	AccountItem  Kind = "account"
	DrainItem    Kind = "drain"
	// DataCentreDrainItem drains all target hosts of a data centre.
	DataCentreDrainItem Kind = "data_centre_drain"
	StopItem            Kind = "stop"
	// RolloutItem is the order of a roll-out of a version; its name is the pool.
	RolloutItem Kind = "rollout"
)

// Item is one created, replaced or deleted object of a change.
type Item struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Value is the new object; nil if the object is deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Key returns the row key of the item's object.
func (i Item) Key() string { return string(i.Kind) + "/" + i.Name }

// Change is one accepted change of the configuration and its audit record.
type Change struct {
	// Revision is the revision after the change; each change adds one.
	Revision int64 `json:"revision"`
	// ID is unique to the submission, so that after a lost reply the submitter can
	// determine whether the change was applied.
	ID string `json:"id"`
	// By is the operator and At is the time of submission.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Note is the operator's reason.
	Note  string `json:"note,omitempty"`
	Items []Item `json:"items"`
}

// Drain is an operator's order that a target host receives no new work.
type Drain struct {
	// Host is the ID of the target host.
	Host string `json:"host" need:"true"`
	// Reason is shown to other operators.
	Reason string `json:"reason"`
}

// DataCentreDrain is an operator's order that the target hosts of a data centre
// receive no new work, including hosts that join while the order stands.
type DataCentreDrain struct {
	DataCentre string `json:"data_centre" need:"true"`
	// Reason is shown to other operators.
	Reason string `json:"reason"`
}

// Stop is an operator's order that a node stops gracefully at a time.
type Stop struct {
	// Node is the name of the node. A process that is started after At ignores
	// the order.
	Node string    `json:"node" need:"true"`
	At   time.Time `json:"at" need:"true"`
}

// Manifest is the content of a file that an operator submits: objects to create
// or replace and names of objects to delete.
type Manifest struct {
	Templates      []Template `json:"templates"`
	Accounts       []Account  `json:"accounts"`
	DeleteTemplate []string   `json:"delete_templates"`
	DeleteAccount  []string   `json:"delete_accounts"`
}

// ParseManifest reads a manifest from JSON with comments. The error is a
// strictjson.Problems that lists every fault of syntax and structure.
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
