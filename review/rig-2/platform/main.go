package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// longestRun is the time after which a case is given up.
const longestRun = 118 * time.Second

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

	// root is the root of the repository, dir a temporary folder and net the second and the
	// third byte of all addresses.
	root, dir string
	net       [2]int
	// peerPorts are the ports for communication between nodes, the same on all machines.
	peerPorts []int

	mu sync.Mutex
	// processes holds those that were started, stopped is set once they are ended.
	processes []*Process
	stopped   bool
}

// cases holds the cases by their numbers. Each returns whether the rule was broken.
var cases = map[string]func(c *Case) (bool, error){}

// host returns a loopback address of this run.
func (c *Case) host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net[0], c.net[1], i+1)
}

// roleCommand returns the command of a role in the deploy file.
func roleCommand(root, role string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	_, section, _ := strings.Cut(string(data), "[roles."+role+"]")
	_, run, found := strings.Cut(section, `run = "`)
	command, _, ended := strings.Cut(run, `"`)
	if !found || !ended {
		return "", fmt.Errorf("deploy/system.toml has no command of the role %s", role)
	}
	return command, nil
}

// newCase returns a case that writes its record to a folder.
func newCase(root, folder string) (*Case, error) {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &Case{
		Store: &Store{
			Record: record,
			began:  time.Now(),
			era:    1,
		},
		Record:  record,
		Trouble: os.Getenv("TROUBLE") != "0",
		root:    root,
		dir:     dir,
		net:     [2]int{64 + rand.IntN(120), rand.IntN(250)},
	}
	c.peerPorts, err = freePorts(c.host(1), 2)
	return c, err
}

// start starts entries and waits until all are ready.
func (c *Case) start(entries int) error {
	for i := range entries {
		e, err := c.startEntry(i)
		if err != nil {
			return err // what was started before ends with the case
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

// startGroup starts a model group of some ranks, and the sidecars beside them.
func (c *Case) startGroup(g *Group, ranks int, write func(r *Rank, request *http.Request, event int)) error {
	var hosts []string
	for i := range ranks {
		hosts = append(hosts, c.host(100+i))
	}
	err := g.Start(hosts, write)
	if err != nil {
		return err
	}
	for _, r := range g.Ranks {
		err = c.startSidecar(r)
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends the processes that the case started, and removes the temporary folder.
func (c *Case) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
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
	signal.Ignore(syscall.SIGPIPE) // who reads the output may have left
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() { result <- c.result(play) }()
	select {
	case code := <-result:
		return code
	case <-signals:
	case <-time.After(longestRun):
	}
	return exitNotRun
}

// result plays a case and returns its exit code.
func (c *Case) result(play func(c *Case) (bool, error)) int {
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
