package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// listen listens on a loopback address.
func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// freeRange returns the first of some ports on a host that are free together.
func freeRange(host string, n int) int {
	for base := 21000 + os.Getpid()%20000; ; base += n {
		free := true
		for i := range n {
			listener, err := listen(net.JoinHostPort(host, strconv.Itoa(base+i)))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return base
		}
	}
}

// Limits of a front machine and bounds of the site file saft-router.
const (
	memoryMb     = 284
	linkBytes    = 1000 * 1000 * 1000 / 8
	restartDelay = time.Second
)

const settingsText = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "cph-a"
region = "dk-east"
portRange = [%d,%d]
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
front = %q
ready = %q
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = %d
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
address = %q
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

// entry is one process 'machine entry' of the project.
type entry struct {
	name, settings, front, ready, log string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	kills   []time.Time
	peak    int64
}

// newEntry writes the settings of an entry.
func newEntry(dir, name, storeAddress string) *entry {
	ports := freeRange("127.0.0.1", 4)
	e := &entry{
		name:     name,
		settings: filepath.Join(dir, name+".toml"),
		front:    freeAddress(),
		ready:    freeAddress(),
		log:      filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, ports, ports+3, e.front, e.ready, memoryMb, storeAddress)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return e
}

// errStopped means that an entry was stopped for good.
var errStopped = errors.New("stopped for good")

// start starts the process.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return errStopped
	}
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(binary(), "machine", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILSTACK_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.cmd, e.ended = cmd, ended
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(sig)
}

// done returns a channel that is closed when the present process has ended.
func (e *entry) done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// stop ends the process for good.
func (e *entry) stop() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
	<-e.done()
}

// resident returns the resident memory of the process in bytes.
func (e *entry) resident() int64 {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// guard does what the platform does: it kills the process once that exceeds memoryMb, and
// starts a process that has ended again after a short delay.
func (e *entry) guard(r *record) {
	for {
		select {
		case <-e.done():
			e.mu.Lock()
			stopped := e.stopped
			e.mu.Unlock()
			if stopped {
				return
			}
			r.printf("%s: process has ended, started again after %s", e.name, restartDelay)
			time.Sleep(restartDelay)
			if err := e.start(); err != nil {
				r.printf("%s: not started: %v", e.name, err)
				return
			}
		case <-time.After(5 * time.Millisecond):
			used := e.resident()
			e.mu.Lock()
			e.peak = max(e.peak, used)
			over := used > memoryMb<<20 && !e.stopped
			e.mu.Unlock()
			if over {
				e.mu.Lock()
				e.kills = append(e.kills, time.Now())
				e.mu.Unlock()
				r.printf("%s: %d MB used, over its limit of %d MB: killed as the platform does", e.name, used>>20, memoryMb)
				e.signal(syscall.SIGKILL)
				<-e.done()
			}
		}
	}
}

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// binary returns the path of the project's program.
func binary() string {
	path := os.Getenv("FOXTAILSTACK_BINARY")
	if path == "" {
		path = "target/foxtailstack"
	}
	return path
}

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{
		file:  file,
		began: time.Now(),
	}, err
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}
