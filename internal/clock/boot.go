package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the start of the machine. It goes on while the
// machine is suspended, which the clock of the runtime does not.
func Boot() time.Duration {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	if err != nil {
		return time.Duration(time.Now().UnixNano()) // the kernel lacks the clock
	}
	return time.Duration(t.Nano())
}
