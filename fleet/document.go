package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth bounds the nesting of a spec.
const maxDepth = 8

// checkDocument returns an error that wraps ErrInvalid unless data is one JSON
// object in valid UTF-8 without duplicate or unusual names. The decoder of the
// standard library ignores the case of names and takes the last of duplicates.
func checkDocument(data []byte) error {
	if !utf8.Valid(data) {
		return fmt.Errorf("%w: not valid UTF-8", ErrInvalid)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	first, err := decoder.Token()
	if err != nil {
		return syntax(err)
	}
	if first != json.Delim('{') {
		return fmt.Errorf("%w: not a JSON object", ErrInvalid)
	}
	err = checkObject(decoder, maxDepth)
	if err != nil {
		return err
	}
	_, err = decoder.Token()
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data behind the JSON object", ErrInvalid)
	}
	return nil
}

// checkObject checks the members of an object up to its end.
func checkObject(decoder *json.Decoder, depth int) error {
	if depth == 0 {
		return fmt.Errorf("%w: nested too deeply", ErrInvalid)
	}
	seen := map[string]bool{}
	for {
		token, err := decoder.Token()
		if err != nil {
			return syntax(err)
		}
		if token == json.Delim('}') {
			return nil
		}
		name, _ := token.(string)
		if !plainName(name) {
			return fmt.Errorf("%w: unknown field %q", ErrInvalid, name)
		}
		if seen[name] {
			return fmt.Errorf("%w: duplicate name %q", ErrInvalid, name)
		}
		seen[name] = true
		err = checkValue(decoder, depth)
		if err != nil {
			return err
		}
	}
}

// checkValue checks one value.
func checkValue(decoder *json.Decoder, depth int) error {
	token, err := decoder.Token()
	if err != nil {
		return syntax(err)
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder, depth-1)
	case json.Delim('['):
		if depth == 1 {
			return fmt.Errorf("%w: nested too deeply", ErrInvalid)
		}
		for decoder.More() {
			err = checkValue(decoder, depth-1)
			if err != nil {
				return err
			}
		}
		_, err = decoder.Token()
		return syntax(err)
	}
	return nil
}

// plainName reports whether a name consists of lower-case letters.
func plainName(name string) bool {
	for _, c := range []byte(name) {
		if c < 'a' || c > 'z' {
			return false
		}
	}
	return name != ""
}

// syntax turns an error of the decoder into one of this layer.
func syntax(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: JSON is cut short", ErrInvalid)
	}
	return fmt.Errorf("%w: %w", ErrInvalid, err)
}

// mergePatch returns a document after a merge patch, by RFC 7396. Both must be
// checked documents.
func mergePatch(document, patch []byte) ([]byte, error) {
	target, err := decodeObject(document)
	if err != nil {
		return nil, err
	}
	changes, err := decodeObject(patch)
	if err != nil {
		return nil, err
	}
	merged, err := json.Marshal(merged(target, changes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return merged, nil
}

// object is a JSON object of unknown members.
type object = map[string]any

// decodeObject decodes a JSON object and keeps its numbers as they are.
func decodeObject(data []byte) (object, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	decoded := object{}
	err := decoder.Decode(&decoded)
	if err != nil {
		return nil, syntax(err)
	}
	return decoded, nil
}

// merged returns target after the changes, in place.
func merged(target, changes object) object {
	for name, value := range changes {
		switch value := value.(type) {
		case nil:
			delete(target, name)
		case object:
			inner, ok := target[name].(object)
			if !ok {
				inner = object{}
			}
			target[name] = merged(inner, value)
		default:
			target[name] = value
		}
	}
	return target
}
