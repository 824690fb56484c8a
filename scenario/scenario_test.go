package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/foxtailstack/foxtailstack/command"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"foxtailstack": func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenario(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":    withSystem((*system).start),
			"shutdown": withSystem((*system).stop),
			"insist":   withSystem((*system).insist),
			"sigkill":  withSystem((*system).kill),
			"freeze":   withSystem((*system).freeze),
			"thaw":     withSystem((*system).thaw),
			"apply":    withSystem((*system).apply),
			"send":     withSystem((*system).send),
			"join":     withSystem((*system).join),
			"expect":   withSystem((*system).expect),
			"matches":  withSystem((*system).matches),
			"outage":   withSystem((*system).outage),
			"slow":     withSystem((*system).slow),
			"lose":     withSystem((*system).lose),
			"faults":   withSystem((*system).engineFaults),
			"await":    withSystem((*system).await),
			"stopping": withSystem((*system).stopping),
			"crashes":  withSystem((*system).crashes),
			"revive":   withSystem((*system).revive),
			"ready":    withSystem((*system).ready),
			"loaded":   withSystem((*system).loaded),
			"cut":      withSystem((*system).cut),
			"heal":     withSystem((*system).heal),
			"load":     withSystem((*system).load),
			"unload":   withSystem((*system).unload),
			"booking":  withSystem((*system).booking),
			"list":     withSystem((*system).setList),
			"operate":  withSystem((*system).operate),
		},
		RequireUniqueNames: true,
	})
}

// A command of testscript hides one of the same name in Params.Cmds: its own
// stop ends a script early, as passed, and its own kill knows no process here.
func TestScriptsRunToTheirEnd(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d scripts, error %v", len(paths), err)
	}
	builtin := regexp.MustCompile(`(?m)^\s*(\[.*\]\s*)?(! )?(stop|kill|skip)\b.*$`)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if line := builtin.Find(data); line != nil {
			t.Errorf("%s: %q is a command of testscript", path, line)
		}
	}
}

// systemKey is the key of a script's system.
type systemKey struct{}

// setup gives a script its own system.
func setup(env *testscript.Env) error {
	s, err := newSystem(env.WorkDir)
	if err != nil {
		return err
	}
	env.Values[systemKey{}] = s
	env.Defer(s.close)
	return nil
}

// withSystem turns a method of the system into a command of a script.
func withSystem(f func(*system, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, _ := ts.Value(systemKey{}).(*system)
		err := f(s, ts, args)
		if (err != nil) != neg {
			ts.Fatalf("got error %v, expected one: %t", err, neg)
		}
	}
}
