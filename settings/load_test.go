package settings_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/settings"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestLoadProblems(t *testing.T) {
	for _, name := range []string{"bad", "syntax", "twice"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			_, err = settings.Parse(name+".toml", string(text), foxtailstack.RoleEntry)
			if !errors.Is(err, settings.ErrInvalid) {
				t.Fatalf("got error %v, want ErrInvalid", err)
			}
			golden := filepath.Join("testdata", name+".golden")
			got := err.Error() + "\n"
			if *update {
				if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("problems differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	got, err := settings.Load(filepath.Join("testdata", "sidecar.toml"), foxtailstack.RoleSidecar)
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Settings{
		Name:        "w1",
		Centre:      "rvk1",
		Region:      "iceland",
		GracePeriod: settings.Duration(20 * time.Second),
		Listen:      settings.Listen{Peers: "127.0.0.1:9000"},
		Platform: settings.Platform{
			Table: "http://127.0.0.1:7000",
			Name:  "foxtailstack",
		},
		TLS: settings.TLS{
			Cert:      "node.pem",
			Key:       "node.key",
			Authority: "authority.pem",
		},
		Upstream: settings.Upstream{
			Name:    "formula/drafting/w1",
			Engine:  "http://127.0.0.1:8000",
			Fencing: true,
			Slots:   8,
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("name = \"a\"\n[listen]\ncallers = 3\n")
	f.Add("[[listen]]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = settings.Parse("fuzz.toml", text, foxtailstack.RoleEntry)
	})
}
