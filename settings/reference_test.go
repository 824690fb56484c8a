package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReferenceNamesEveryKey checks that docs/SETTINGS.md names each key of the schema.
func TestReferenceNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range schema {
		if !strings.Contains(string(page), "`"+k.name+"`") {
			t.Errorf("docs/SETTINGS.md does not name the key %s", k.name)
		}
	}
}
