package control

import (
	"time"

	"lichenhitch/internal/boottime"
)

// This file converts the end of a trial lease for the node's store: to a clock that continues across restarts of the process,
// since a restart must not make the node's last information look younger.

// storedPolicies is PolicyState in its stored form.
type storedPolicies struct {
	PolicyState
	LeaseEnd boottime.Moment `json:"lease_end"`
}

// leaseEndToStore returns the end of a lease as a moment of the boot clock; the zero moment if there is no lease, or if the boot
// clock could not be read. boot must be read before now, so that the moment is not later than the end.
func leaseEndToStore(end, now time.Duration, boot boottime.Moment) boottime.Moment {
	if end == 0 || boot.Boot == "" {
		return boottime.Moment{}
	}
	return boot.Add(end - now)
}

// leaseEndFromStore returns the end of a lease in the node's time. It returns 0, a time long past, if the end is not certain:
// after a reboot, without a readable boot clock, or if more than a whole lease would remain. now must be read before boot, so
// that the end does not move to a later time.
func leaseEndFromStore(stored boottime.Moment, lease, now time.Duration, boot boottime.Moment) time.Duration {
	remaining, known := boot.Until(stored)
	if !known || remaining > lease {
		return 0
	}
	return now + remaining
}
