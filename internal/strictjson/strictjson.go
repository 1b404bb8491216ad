// Package strictjson decodes JSON with comments (hujson) into Go structs and
// reports all faults of the input at once: unknown fields, wrong types and missing
// required fields, each with its path and what to write instead.
//
// A field is required if it has the tag `need:"true"`.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Problem is one fault of an input.
type Problem struct {
	// Path locates the value, such as "listen.caller.addr".
	Path string `json:"path"`
	// Reason describes the fault and what to write instead.
	Reason string `json:"reason"`
	// File and Line locate the value in its file; "" and 0 if they are not known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// Problems is a list of faults. Err returns it as an error if it is not empty.
type Problems []Problem

// Add appends a fault.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Merge adds those faults of more whose paths have no fault in p yet.
func (p *Problems) Merge(more Problems) {
	known := make(map[string]bool, len(*p))
	for _, pr := range *p {
		known[pr.Path] = true
	}
	for _, pr := range more {
		if !known[pr.Path] {
			*p = append(*p, pr)
		}
	}
}

// Err returns p as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Error implements error, with one line per fault.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, pr := range p {
		lines[i] = pr.position() + pr.Path + ": " + pr.Reason
	}
	return strings.Join(lines, "\n")
}

// position returns the file and line, as far as they are known, as a prefix of a message.
func (p Problem) position() string {
	switch {
	case p.File != "" && p.Line > 0:
		return fmt.Sprintf("%s:%d: ", p.File, p.Line)
	case p.File != "":
		return p.File + ": "
	case p.Line > 0:
		return fmt.Sprintf("line %d: ", p.Line)
	}
	return ""
}

// Duration is a time.Duration written as a string such as "9s" or "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.New(`write a duration such as "9s" or "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Errorf(`%q is not a duration: write one such as "9s" or "250ms"`, s)
	}
	*d = Duration(v)
	return nil
}

// Decode reads JSON with comments from src into out, a pointer to a struct.
// For a faulty input the error is a Problems with every fault found; out then holds the
// valid values, unless the input isn't JSON, so that the caller can validate them and report
// all faults together.
func Decode(src []byte, out any) error {
	std := src
	if !json.Valid(src) {
		// The form in which hujson keeps comments takes many times the size of the input.
		var err error
		if std, err = hujson.Standardize(bytes.Clone(src)); err != nil {
			return Problems{{Path: "(input)", Reason: "not JSON with comments: " + err.Error()}}
		}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return Problems{{Path: "(input)", Reason: "not JSON: " + err.Error()}}
	}
	return DecodeTree(tree, out)
}

// DecodeTree decodes a parsed JSON value (numbers as json.Number) into out. It
// removes unknown fields and most faulty values from tree.
func DecodeTree(tree, out any) error {
	var probs Problems
	check(&probs, "", tree, reflect.TypeOf(out).Elem())
	b, err := json.Marshal(tree)
	if err != nil {
		return eris.Wrap(err, "encode tree")
	}
	err = json.Unmarshal(b, out)
	if len(probs) > 0 {
		return probs
	}
	return eris.Wrap(err, "decode tree")
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// check adds the faults of v, a JSON value to be decoded into type t, to probs.
func check(probs *Problems, path string, v any, t reflect.Type) {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		checkCustom(probs, path, v, t)
		return
	}
	if v == nil {
		if t.Kind() != reflect.Pointer && t.Kind() != reflect.Interface {
			probs.Add(pathOrInput(path), "is null: write %s or leave it out", describe(t))
		}
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		check(probs, path, v, t.Elem())
	case reflect.Struct:
		checkStruct(probs, path, v, t)
	case reflect.Map:
		checkMap(probs, path, v, t)
	case reflect.Slice:
		checkSlice(probs, path, v, t)
	case reflect.Interface:
	default:
		checkScalar(probs, path, v, t)
	}
}

// checkCustom checks v by decoding it with the UnmarshalJSON method of t.
func checkCustom(probs *Problems, path string, v any, t reflect.Type) {
	b, err := json.Marshal(v)
	if err != nil {
		probs.Add(pathOrInput(path), "cannot be encoded: %v", err)
		return
	}
	p := reflect.New(t).Interface().(json.Unmarshaler)
	if err := p.UnmarshalJSON(b); err != nil {
		probs.Add(pathOrInput(path), "%v", err)
	}
}

// checkStruct checks v against the struct type t. It removes unknown fields from v, and
// faulty ones whose type contains no structs.
func checkStruct(probs *Problems, path string, v any, t reflect.Type) {
	obj, ok := v.(map[string]any)
	if !ok {
		probs.Add(pathOrInput(path), "is %s: write an object", kindOf(v))
		return
	}
	fields := fieldsOf(t)
	for _, name := range sortedKeys(fields) {
		if _, ok := obj[name]; !ok && fields[name].Tag.Get("need") == "true" {
			probs.Add(join(path, name), "is missing: write %s", describe(fields[name].Type))
		}
	}
	for _, key := range sortedKeys(obj) {
		f, ok := fields[key]
		if !ok {
			probs.Add(join(path, key), "is not a known field: use one of %s", strings.Join(sortedKeys(fields), ", "))
			delete(obj, key)
			continue
		}
		before := len(*probs)
		check(probs, join(path, key), obj[key], f.Type)
		if len(*probs) > before && !containsStructs(f.Type) {
			delete(obj, key)
		}
	}
}

// containsStructs reports whether t is or contains a struct. If one field of such a struct
// is faulty, its valid fields are still decoded.
func containsStructs(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return containsStructs(t.Elem())
	}
	return t.Kind() == reflect.Struct
}

func checkMap(probs *Problems, path string, v any, t reflect.Type) {
	obj, ok := v.(map[string]any)
	if !ok {
		probs.Add(pathOrInput(path), "is %s: write an object", kindOf(v))
		return
	}
	for _, key := range sortedKeys(obj) {
		check(probs, join(path, key), obj[key], t.Elem())
	}
}

func checkSlice(probs *Problems, path string, v any, t reflect.Type) {
	list, ok := v.([]any)
	if !ok {
		if _, isString := v.(string); isString && t.Elem().Kind() == reflect.Uint8 {
			return
		}
		probs.Add(pathOrInput(path), "is %s: write a list", kindOf(v))
		return
	}
	for i, e := range list {
		check(probs, fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
	}
}

func checkScalar(probs *Problems, path string, v any, t reflect.Type) {
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, reflect.New(t).Interface())
	}
	if err != nil {
		probs.Add(pathOrInput(path), "is %s: write %s", kindOf(v), describe(t))
	}
}

// fieldsOf returns the exported fields of the struct type t by JSON name.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	out := make(map[string]reflect.StructField)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && !f.Anonymous && name != "" && name != "-" {
			out[name] = f
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// pathOrInput returns path, or "(input)" for the path of the whole input.
func pathOrInput(path string) string {
	if path == "" {
		return "(input)"
	}
	return path
}

// kindOf describes the JSON value v for a Problem.
func kindOf(v any) string {
	switch x := v.(type) {
	case nil:
		return "null"
	case string:
		return fmt.Sprintf("the string %q", x)
	case json.Number:
		return "the number " + x.String()
	case bool:
		return fmt.Sprintf("the boolean %t", x)
	case []any:
		return "a list"
	case map[string]any:
		return "an object"
	}
	return "a value of another type"
}

// describe describes the JSON value that type t requires.
func describe(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "9s"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint16:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

// FieldNames returns the JSON names of all fields of the struct v and of the
// structs inside it. Tests use it to check that examples are complete.
func FieldNames(v any) []string {
	seen := make(map[string]bool)
	collectNames(seen, reflect.TypeOf(v))
	return sortedKeys(seen)
}

func collectNames(seen map[string]bool, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		collectNames(seen, t.Elem())
	case reflect.Struct:
		for name, f := range fieldsOf(t) {
			seen[name] = true
			collectNames(seen, f.Type)
		}
	}
}
