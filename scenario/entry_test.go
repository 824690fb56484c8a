package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// await waits until the engines have begun a text so many times.
func (s *system) await(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return errUsage
	}
	got := 0
	err = await(startTimeout, func() bool {
		got, _ = s.executions(args[0]) // an engine that is down is asked again
		return got >= want
	})
	if err != nil {
		return fmt.Errorf("engines began %q %d times, expected %d: %w", args[0], got, want, err)
	}
	return nil
}

// stopping sends SIGTERM and waits until the process says that it drains.
func (s *system) stopping(_ *testscript.TestScript, args []string) error {
	p, err := s.signal(args, syscall.SIGTERM)
	if err != nil {
		return err
	}
	return await(stopTimeout, func() bool { return strings.Contains(p.log.String(), "to=draining") })
}
