package main

import (
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

// Entry is an entry of foxtailstack, a process of its own.
type Entry struct {
	Name    string
	Callers string
	Ready   string
	Store   *StoreListener

	cmd  *exec.Cmd
	done chan struct{}
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

// settingsText is the settings file of an entry. The values are those of DEPLOY.md but for
// names and addresses.
const settingsText = `nodeName = %[1]q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %[2]q
zone = "cph-a"
region = "dk-east"
portRange = [%[5]d,%[6]d]
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
[listen]
front = %[3]q
ready = %[4]q
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = 284
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
address = %[7]q
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

// startEntry starts an entry with the command of the deploy file.
func (c *Case) startEntry(i int) (*Entry, error) {
	host := c.host(10 + i)
	store, err := c.Store.Listen(c.host(2), fmt.Sprintf("entry-%d", i))
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(host, 4)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Name:    fmt.Sprintf("entry-%d", i),
		Callers: net.JoinHostPort(host, fmt.Sprint(ports[0])),
		Ready:   net.JoinHostPort(host, fmt.Sprint(ports[1])),
		Store:   store,
		done:    make(chan struct{}),
	}
	text := fmt.Sprintf(settingsText, e.Name, host, e.Callers, e.Ready, ports[2], ports[3], store.Addr().String())
	settings := filepath.Join(c.dir, e.Name+".toml")
	err = os.WriteFile(settings, []byte(text), 0o600)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, e.Name+".log"))
	if err != nil {
		return nil, err
	}
	words := strings.Fields(c.command)
	e.cmd = exec.Command(words[0], words[1:]...)
	e.cmd.Dir = c.root
	e.cmd.Env = append(os.Environ(), "FOXTAILSTACK_SETTINGS="+settings)
	e.cmd.Stdout = log
	e.cmd.Stderr = log
	err = e.cmd.Start()
	if err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		_ = log.Close()
		close(e.done)
	}()
	return e, nil
}

// signal sends a signal to the process.
func (e *Entry) signal(sig syscall.Signal) {
	_ = e.cmd.Process.Signal(sig) // it may have ended
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
