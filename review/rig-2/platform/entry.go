package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its settings have them.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// Process is a process of foxtailstack.
type Process struct {
	Name  string
	Store *StoreListener

	cmd  *exec.Cmd
	done chan struct{}
}

// Entry is an entry of foxtailstack.
type Entry struct {
	*Process
	Callers string
	Ready   string
}

// freePorts returns n ports that are free on a host, in ascending order.
func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports, nil
}

// Parts of settings files that differ between machines: those of entries and of sidecars.
const (
	entrySettings = `role = "entry"
machineClass = "front"
serves = ["front"]
`
	sidecarSettings = `role = "sidecar"
machineClass = "side"
serves = ["side"]
app = %q
service = %q
`
	listenSettings = `[listen]
front = %q
ready = %q
`
)

// settingsText is a settings file. The values are those of DEPLOY.md but for names and addresses.
const settingsText = `nodeName = %[1]q
ip = %[2]q
zone = "cph-a"
region = "dk-east"
portRange = [%[3]d,%[4]d]
%[5]s
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
cph-a = "dk-east"
cph-b = "dk-east"
roskilde = "dk-east"
%[6]s[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = %[7]d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 94
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
requireFencing = true
[platform]
address = %[8]q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`

// Memory of the machines in MB.
const (
	frontMemory = 284
	sideMemory  = 152
)

// startEntry starts an entry with the command of the deploy file.
func (c *Case) startEntry(i int) (*Entry, error) {
	host := c.host(10 + i)
	ports, err := freePorts(host, 2)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Callers: net.JoinHostPort(host, fmt.Sprint(ports[0])),
		Ready:   net.JoinHostPort(host, fmt.Sprint(ports[1])),
	}
	e.Process, err = c.startProcess("entry", fmt.Sprintf("entry-%d", i), host, frontMemory,
		entrySettings, fmt.Sprintf(listenSettings, e.Callers, e.Ready))
	return e, err
}

// startSidecar starts the sidecar beside a rank with the command of the deploy file.
func (c *Case) startSidecar(r *Rank) error {
	host, _, err := net.SplitHostPort(r.address)
	if err != nil {
		return err
	}
	_, err = c.startProcess("sidecar", fmt.Sprintf("sidecar-%d", r.Index), host, sideMemory,
		fmt.Sprintf(sidecarSettings, r.address, serviceDraft), "[listen]\n")
	return err
}

// startProcess starts a process of a role.
func (c *Case) startProcess(role, name, host string, memory int, top, listen string) (*Process, error) {
	command, err := roleCommand(c.root, role)
	if err != nil {
		return nil, err
	}
	store, err := c.Store.Listen(c.host(2), name)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, name, host, c.peerPorts[0], c.peerPorts[1], top, listen, memory, store.Addr().String())
	settings := filepath.Join(c.dir, name+".toml")
	err = os.WriteFile(settings, []byte(text), 0o600)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:  name,
		Store: store,
		done:  make(chan struct{}),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil, errors.New("the case has ended")
	}
	words := strings.Fields(command)
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Dir = c.root
	p.cmd.Env = append(os.Environ(), "FOXTAILSTACK_SETTINGS="+settings)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	err = p.cmd.Start()
	if err != nil {
		return nil, err
	}
	c.processes = append(c.processes, p)
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *Process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

// isReady reports whether the entry says that it is ready.
func (e *Entry) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + e.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
