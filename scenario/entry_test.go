package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
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

// crashed returns the names of the engines that have crashed.
func (s *system) crashed() []string {
	var names []string
	for name, p := range s.processes {
		if !strings.HasPrefix(name, "engine") {
			continue
		}
		select {
		case err := <-p.exited:
			p.exited <- err
			if err != nil {
				names = append(names, name)
			}
		default:
		}
	}
	return names
}

// crashes checks how many engines have crashed and not been started again. An engine's
// connections end before its process can be waited for, so that crashes waits until as
// many as expected have ended.
func (s *system) crashes(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	var got []string
	err := await(crashTimeout, func() bool {
		got = s.crashed()
		return strconv.Itoa(len(got)) == args[0]
	})
	if err != nil {
		return fmt.Errorf("engines %q have crashed, expected %s", got, args[0])
	}
	return nil
}

// crashTimeout is the time within which the end of an engine's process is seen.
const crashTimeout = 5 * time.Second

// revive starts the crashed engines again, at their addresses.
func (s *system) revive(_ *testscript.TestScript, _ []string) error {
	for _, name := range s.crashed() {
		url := s.processes[name].url
		address := strings.TrimPrefix(url, "http://")
		err := s.launch(name, url, address, "standin", "--engine", address)
		if err != nil {
			return err
		}
	}
	return nil
}

// loaded waits until an engine has loaded a version of a model.
func (s *system) loaded(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 || s.processes[args[0]] == nil {
		return errUsage
	}
	var state foxtailstack.EngineState
	err := await(startTimeout, func() bool {
		response, err := http.Get(s.processes[args[0]].url + "/state")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&state) == nil &&
			state.Model == args[1] && state.Version == args[2]
	})
	if err != nil {
		return fmt.Errorf("%w: %s has loaded %+v", err, args[0], state)
	}
	return nil
}
