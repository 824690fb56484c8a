package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Case is one run of a case.
type Case struct {
	Store   *Store
	Record  *Record
	Entries []*Entry
	Workers []*Worker
	// Trouble is set unless the disruption is left out.
	Trouble bool

	// root is the root of the repository, command the command of the role that takes callers,
	// dir a temporary folder and net the second and the third byte of all addresses.
	root, command, dir string
	net                [2]int
}

// cases holds the cases by their numbers. Each returns whether the rule was broken.
var cases = map[string]func(c *Case) (bool, error){}

// host returns a loopback address of this run.
func (c *Case) host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net[0], c.net[1], i+1)
}

// entryCommand returns the command of the role "entry" in the deploy file.
func entryCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	_, role, _ := strings.Cut(string(data), "[roles.entry]")
	_, run, found := strings.Cut(role, `run = "`)
	command, _, ended := strings.Cut(run, `"`)
	if !found || !ended {
		return "", errors.New("deploy/system.toml has no command of the role entry")
	}
	return command, nil
}

// newCase returns a case that writes its record to a folder.
func newCase(root, folder string) (*Case, error) {
	command, err := entryCommand(root)
	if err != nil {
		return nil, err
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &Case{
		Store: &Store{
			Record: record,
			began:  time.Now(),
			era:    1,
		},
		Record:  record,
		Trouble: os.Getenv("TROUBLE") != "0",
		root:    root,
		command: command,
		dir:     dir,
		net:     [2]int{64 + rand.IntN(120), rand.IntN(250)},
	}, nil
}

// start starts entries and waits until all are ready.
func (c *Case) start(entries int) error {
	for i := range entries {
		e, err := c.startEntry(i)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, e)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range c.Entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addWorker starts a worker of a service.
func (c *Case) addWorker(w *Worker) error {
	w.Record = c.Record
	w.Store = c.Store
	w.Zone = "cph-a"
	c.Workers = append(c.Workers, w)
	return w.Start(c.host(100 + len(c.Workers)))
}

// stop ends the processes that the case started, and removes the temporary folder.
func (c *Case) stop() {
	for _, e := range c.Entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// run runs a case and returns its exit code.
func run(number, root, folder string) int {
	play, ok := cases[number]
	if !ok {
		fmt.Println("no case", number)
		return exitNotRun
	}
	c, err := newCase(root, folder)
	if err != nil {
		fmt.Println("case not run:", err)
		return exitNotRun
	}
	defer c.stop()
	broken, err := play(c)
	if err != nil {
		c.Record.Say("case not run: " + err.Error())
		return exitNotRun
	}
	if broken {
		c.Record.Say("rule broken")
		return exitBroken
	}
	c.Record.Say("rule held")
	return exitHeld
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}
