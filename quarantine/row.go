package quarantine

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// rowSeparator stands between the kind, the fingerprint and the CrashID in the name of a
// row. Rows of the kind KindRequest have no kind in their names.
const rowSeparator = "/"

// rowName returns the name of the row of a crash.
func rowName(c Crash) string {
	name := c.Fingerprint.String() + rowSeparator + string(c.ID)
	if c.Kind == KindRequest {
		return name
	}
	return c.Kind.String() + rowSeparator + name
}

// errRowName is returned for the name of a row that does not name a crash.
var errRowName = errors.New("name does not consist of a fingerprint and a crash")

// parseRowName returns the crash that a row stands for.
func parseRowName(name string) (Crash, error) {
	kind, rest := parseRowKind(name)
	digits, id, ok := strings.Cut(rest, rowSeparator)
	data, err := hex.DecodeString(digits)
	if !ok || id == "" || err != nil || len(data) != len(Fingerprint{}) {
		return Crash{}, fmt.Errorf("%w: %q", errRowName, name)
	}
	return Crash{
		Fingerprint: Fingerprint(data),
		Kind:        kind,
		ID:          CrashID(id),
		Upstream:    CrashID(id).upstream(),
	}, nil
}

// parseRowKind returns the kind in the name of a row and the rest of the name.
func parseRowKind(name string) (Kind, string) {
	for _, kind := range partKinds {
		rest, ok := strings.CutPrefix(name, kind.String()+rowSeparator)
		if ok {
			return kind, rest
		}
	}
	return KindRequest, name
}
