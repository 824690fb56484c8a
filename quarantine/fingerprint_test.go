package quarantine_test

import (
	"testing"

	"github.com/foxtailstack/foxtailstack/quarantine"
	"github.com/google/go-cmp/cmp"
)

// Guards against requests that differ but count as equal because their parts joined
// give the same bytes.
func TestFingerprintSeparatesParts(t *testing.T) {
	seen := make(map[string][]string)
	for _, parts := range [][]string{
		{"POST", "/lookup/x", "body"},
		{"POST", "/lookup/", "xbody"},
		{"POST", "/lookup/xbody", ""},
		{"POST", "/lookup/xbody"},
		{},
	} {
		var fields [][]byte
		for _, part := range parts {
			fields = append(fields, []byte(part))
		}
		text := quarantine.FingerprintOf(fields...).String()
		if other, ok := seen[text]; ok {
			t.Errorf("%q and %q have the same fingerprint", parts, other)
		}
		seen[text] = parts
		if diff := cmp.Diff(quarantine.FingerprintOf(fields...).String(), text); diff != "" {
			t.Errorf("fingerprint changes (-first +second):\n%s", diff)
		}
	}
}
