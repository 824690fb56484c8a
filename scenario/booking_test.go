package scenario

import (
	"fmt"
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

// booking runs the command that lists and settles bookings.
func (s *system) booking(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	err := s.operate(ts, []string{"entry1", "booking", "list"})
	if err != nil {
		return err
	}
	line := regexp.MustCompile(`(?m)^team=(\S+) service=(\S+) key="` + args[1] + `" .*attempt=(\S+)`).FindStringSubmatch(s.last.body)
	if line == nil {
		return fmt.Errorf("booking %s is not listed", args[1])
	}
	if args[0] == "listed" {
		return nil
	}
	if args[0] != "settle" || len(args) != 3 {
		return errUsage
	}
	return s.operate(ts, []string{
		"entry1", "booking", "settle", line[1], line[2], args[1], line[3], args[2],
		"--by", "operator1", "--word", "seen in the books",
	})
}
