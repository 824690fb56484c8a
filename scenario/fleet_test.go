package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/platform"
	"github.com/foxtailstack/foxtailstack/platform/standin"
	"github.com/rogpeppe/go-internal/testscript"
)

// setList replaces the platform's list of instances.
func (s *system) setList(_ *testscript.TestScript, args []string) error {
	groups := []platform.TargetGroup{}
	for _, name := range args {
		role := foxtailstack.RoleEntry
		if strings.Contains(name, "/") {
			role = foxtailstack.RoleSidecar
		}
		groups = append(groups, platform.TargetGroup{
			Targets: []string{s.peerAddress(name)},
			Labels: map[string]string{
				platform.LabelName:   strings.ReplaceAll(name, "/", "-"),
				platform.LabelRole:   string(role),
				platform.LabelCentre: "local1",
				platform.LabelRegion: "local",
			},
		})
	}
	data, err := json.Marshal(groups)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, s.processes["platform"].url+standin.PathList, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// operate runs a command of an operator against an entry. The answer's status
// is the exit code and its body what the command wrote.
func (s *system) operate(ts *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("operate", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	background := flags.String("bg", "", "name of a command in the background")
	err := flags.Parse(args)
	if err != nil || flags.NArg() < 2 || s.processes[flags.Arg(0)] == nil {
		return errUsage
	}
	command := append(flags.Args()[1:], "--server", s.processes[flags.Arg(0)].url,
		"--authority", filepath.Join(s.dir, "keys", "authority.pem"), "--token", operatorToken)
	if *background != "" {
		done := make(chan answer, 1)
		s.answers[*background] = done
		go func() { done <- s.command(command) }()
		return nil
	}
	s.last = s.command(command)
	ts.Logf("%s", s.last.body)
	if s.last.status != 0 {
		return errors.New("command failed")
	}
	return s.last.err
}

// command runs the binary in the directory of the script.
func (s *system) command(args []string) answer {
	cmd := exec.Command("foxtailstack", args...)
	cmd.Dir = s.dir
	out, err := cmd.CombinedOutput()
	a := answer{body: string(out)}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		a.status = exit.ExitCode()
		err = nil
	}
	a.err = err
	return a
}
