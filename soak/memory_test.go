package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMb is the memory of a process in the settings.
	memoryMb = 284
	// memoryInterval is the time between two looks at the memory of all processes.
	memoryInterval = 20 * time.Millisecond
)

// resident returns the resident memory of the process in bytes, or zero if it has ended.
func (p *process) resident() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // zero if the kernel wrote nonsense
	return pages * int64(os.Getpagesize())
}

// watchMemory fails the test if a process passes its memory, at which the platform would kill
// it, until ctx ends.
func (s *system) watchMemory(ctx context.Context) {
	peak := int64(0)
	for ctx.Err() == nil {
		for _, p := range s.processes {
			used := p.resident()
			peak = max(peak, used)
			if used > memoryMb<<20 {
				s.t.Errorf("%s uses %d MB of %d", p.name, used>>20, memoryMb)
				return
			}
		}
		time.Sleep(memoryInterval)
	}
	s.t.Logf("peak of %d MB", peak>>20)
}
