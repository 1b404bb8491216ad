package catalog

import (
	"errors"
	"slices"
	"strings"

	"topazmoor/internal/strictjson"
)

// AddLines adds to each problem of err the file and the line of its value in the manifest src. file is
// the manifest's name; "" if it is not known. An err that is not a strictjson.Problems is returned as it
// is.
func AddLines(err error, file string, src []byte) error {
	var probs strictjson.Problems
	if !errors.As(err, &probs) {
		return err
	}
	doc, parseErr := strictjson.NewDocument(src)
	out := slices.Clone(probs)
	for i := range out {
		out[i].File = file
		if parseErr == nil {
			out[i].Line = manifestLine(doc, out[i].Path)
		}
	}
	return out
}

// manifestLine returns the line of the value at the path of a problem; 0 if the manifest does not have
// the object. The path begins with an object's key, such as "account/NAME", or else is one within the
// manifest.
func manifestLine(doc *strictjson.Document, path string) int {
	kind, rest, isObject := strings.Cut(path, "/")
	if !isObject {
		return doc.Line(path)
	}
	// A name may have dots, so that its end is not known before the object is found.
	for end := len(rest); end > 0; end = strings.LastIndexByte(rest[:end], '.') {
		if at := doc.Element(kind+"s", rest[:end]); at != "" {
			return doc.Line(at + rest[end:])
		}
	}
	return 0
}
