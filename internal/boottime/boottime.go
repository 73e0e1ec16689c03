// Package boottime tells moments on a clock that goes on over restarts of a process, and while the machine sleeps: Linux's
// CLOCK_BOOTTIME, with the ID of the boot that it counts from (clock_gettime(2), random(4)). Unlike the system's time it is never set.
package boottime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Moment is a moment of one boot. The zero value is none.
type Moment struct {
	Boot string        `json:"boot,omitempty"` // the boot's ID
	At   time.Duration `json:"at,omitempty"`   // since the boot
}

// Now returns the present moment. Errors are of the system: no such clock, or no ID of the boot.
func Now() (Moment, error) {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Moment{}, fmt.Errorf("the boot's ID cannot be read: %w", err)
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Moment{}, fmt.Errorf("the clock since the boot cannot be read: %w", err)
	}
	return Moment{Boot: strings.TrimSpace(string(id)), At: time.Duration(ts.Nano())}, nil
}

// Add returns the moment that comes after another one by a time.
func (m Moment) Add(d time.Duration) Moment { return Moment{Boot: m.Boot, At: m.At + d} }

// Until returns how long it is from one moment to another; false where they are of different boots, or one is none.
func (m Moment) Until(other Moment) (time.Duration, bool) {
	if m.Boot == "" || m.Boot != other.Boot {
		return 0, false
	}
	return other.At - m.At, true
}
