package scenario

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// booking runs the command that lists and settles bookings.
func (s *system) booking(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	listed, err := s.operate("booking", "list")
	ts.Logf("%s", listed)
	if err != nil {
		return err
	}
	line := regexp.MustCompile(`(?m)^team=(\S+) service=(\S+) key="` + args[1] + `" .*attempt=(\S+)`).FindSubmatch(listed)
	if line == nil {
		return fmt.Errorf("booking %s is not listed", args[1])
	}
	if args[0] == "listed" {
		return nil
	}
	if args[0] != "settle" || len(args) != 3 {
		return errUsage
	}
	out, err := s.operate("booking", "settle", string(line[1]), string(line[2]), args[1], string(line[3]), args[2],
		"--by", "operator1", "--word", "seen in the books")
	ts.Logf("%s", out)
	return err
}

// operate runs a command for operators against the first entry.
func (s *system) operate(args ...string) ([]byte, error) {
	args = append(args, "--server", s.processes["entry1"].url, "--authority", filepath.Join(s.dir, "keys", "authority.pem"))
	return exec.Command("foxtailstack", args...).CombinedOutput()
}
