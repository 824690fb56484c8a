package group

import (
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

const (
	// contentType is the content type of the replies of sidecars. Requests to
	// them carry none.
	contentType = "application/cbor"
	// maxMessageBytes is the maximum length of a message.
	maxMessageBytes = 1 << 20
)

// encode returns the CBOR encoding of a message.
func encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// decode reads a CBOR message from r. A message longer than maxMessageBytes is
// cut there and fails to decode.
func decode(r io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	err = cbor.Unmarshal(data, into)
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// decodeRequest decodes the body of a request. If that fails, it answers with
// status 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	err := decode(r.Body, into)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply answers a request with a message, or with the status that stands
// for err.
func writeReply(w http.ResponseWriter, err error, message any) {
	if err != nil {
		w.WriteHeader(statusForError(err))
		return
	}
	data, err := encode(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(data) // without an answer the caller repeats the request
}
