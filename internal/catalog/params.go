package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"topazmoor/internal/strictjson"
)

// checkParameters validates the parameter declarations of a template.
func checkParameters(probs *strictjson.Problems, path string, t Template) {
	seen := make(map[string]bool)
	for i, p := range t.Parameters {
		at := fmt.Sprintf("%s.parameters[%d]", path, i)
		if seen[p.Name] {
			probs.Add(at+".name", "%q stands twice", p.Name)
		}
		seen[p.Name] = true
		known := []ParamType{StringParam, IntParam, BoolParam, DurationParam}
		if !slices.Contains(known, p.Type) {
			probs.Add(at+".type", "%q is not a type: write string, int, bool or duration", p.Type)
			continue
		}
		if p.Default == nil {
			continue
		}
		if reason := mismatch(p, p.Default); reason != "" {
			probs.Add(at+".default", "%s", reason)
		}
	}
}

// bindParameters returns the values of all parameters of t: the given ones, or
// their defaults. It adds a problem for each value that is missing, invalid or
// unknown.
func bindParameters(probs *strictjson.Problems, path string, t *Template, given map[string]any) map[string]any {
	values := make(map[string]any)
	for _, p := range t.Parameters {
		v, ok := given[p.Name]
		if !ok {
			v = p.Default
		}
		if v == nil {
			probs.Add(path+"."+p.Name, "is missing: template %q needs a value of type %s", t.Name, p.Type)
			continue
		}
		if reason := mismatch(p, v); reason != "" {
			probs.Add(path+"."+p.Name, "%s", reason)
			continue
		}
		values[p.Name] = v
	}
	for name := range given {
		if !slices.ContainsFunc(t.Parameters, func(p Parameter) bool { return p.Name == name }) {
			probs.Add(path+"."+name, "is not a parameter of template %q", t.Name)
		}
	}
	return values
}

// mismatch returns the reason why v is not a valid value of p, or "".
func mismatch(p Parameter, v any) string {
	switch p.Type {
	case BoolParam:
		if _, ok := v.(bool); !ok {
			return "write true or false"
		}
	case IntParam:
		return intMismatch(p, v)
	case DurationParam:
		s, ok := v.(string)
		if !ok {
			return `write a duration such as "9s"`
		}
		if d, err := time.ParseDuration(s); err != nil || d <= 0 {
			return `write a duration above zero such as "9s"`
		}
	default:
		s, ok := v.(string)
		if !ok {
			return "write a string"
		}
		if len(p.OneOf) > 0 && !slices.Contains(p.OneOf, s) {
			return fmt.Sprintf("%q is not allowed: write one of %s", s, strings.Join(p.OneOf, ", "))
		}
	}
	return ""
}

func intMismatch(p Parameter, v any) string {
	n, err := strconv.ParseInt(fmt.Sprint(v), 10, 64)
	if f, ok := v.(float64); ok {
		n = int64(f)
		err = nil
		if f != float64(n) {
			return "write a whole number"
		}
	}
	if _, isString := v.(string); isString || err != nil {
		return "write a whole number"
	}
	if p.Min != nil && n < *p.Min {
		return fmt.Sprintf("%d is below the least value %d", n, *p.Min)
	}
	if p.Max != nil && n > *p.Max {
		return fmt.Sprintf("%d is above the largest value %d", n, *p.Max)
	}
	return ""
}

// substitute returns a copy of tree in which each string "${name}" is
// replaced by the value of the parameter, with its type.
func substitute(probs *strictjson.Problems, path string, tree any, values map[string]any) any {
	switch x := tree.(type) {
	case string:
		name, ok := parseReference(x)
		if !ok {
			return x
		}
		v, ok := values[name]
		if !ok {
			probs.Add(path, "refers to ${%s}, which is not a parameter", name)
		}
		return toJSONNumber(v)
	case map[string]any:
		out := make(map[string]any, len(x))
		for k, v := range x {
			out[k] = substitute(probs, path, v, values)
		}
		return out
	case []any:
		out := make([]any, len(x))
		for i, v := range x {
			out[i] = substitute(probs, path, v, values)
		}
		return out
	case float64:
		return toJSONNumber(x)
	}
	return tree
}

// parseReference returns the name in a string "${name}"; the result is false for
// other strings.
func parseReference(s string) (string, bool) {
	rest, ok := strings.CutPrefix(s, "${")
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, "}")
}

// toJSONNumber converts a float64 from an earlier decoding to the json.Number
// that strictjson.DecodeTree expects. Other values are returned unchanged.
func toJSONNumber(v any) any {
	f, ok := v.(float64)
	if !ok {
		return v
	}
	return json.Number(strconv.FormatFloat(f, 'f', -1, 64))
}
