// Package boottime reads a clock that continues across restarts of a process and while the machine is suspended: Linux's
// CLOCK_BOOTTIME, together with the ID of the boot from which it counts (clock_gettime(2), random(4)). Unlike the system time
// it is never set.
package boottime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Moment is a point in time during one boot. The zero value is unset.
type Moment struct {
	Boot string        `json:"boot,omitempty"` // ID of the boot
	At   time.Duration `json:"at,omitempty"`   // time since the boot
}

// Now returns the current moment. It fails if the system has no boot ID or no CLOCK_BOOTTIME.
func Now() (Moment, error) {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Moment{}, fmt.Errorf("cannot read the boot ID: %w", err)
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Moment{}, fmt.Errorf("cannot read CLOCK_BOOTTIME: %w", err)
	}
	return Moment{Boot: strings.TrimSpace(string(id)), At: time.Duration(ts.Nano())}, nil
}

// Add returns the moment d after m.
func (m Moment) Add(d time.Duration) Moment { return Moment{Boot: m.Boot, At: m.At + d} }

// Until returns the time from m to other, and false if they are of different boots or m is unset.
func (m Moment) Until(other Moment) (time.Duration, bool) {
	if m.Boot == "" || m.Boot != other.Boot {
		return 0, false
	}
	return other.At - m.At, true
}
