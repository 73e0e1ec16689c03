package control

import (
	"time"

	"lichenhitch/internal/boottime"
)

// This file is the end of a trial's lease as it stands in the node's store: on a clock that goes on over restarts of the process, since
// what the node was told last is no younger for a restart.

// storedPolicies is Kept as it is written.
type storedPolicies struct {
	PolicyState
	LeaseEnd boottime.Moment `json:"lease_end"`
}

// leaseEndToStore returns the end of a lease as a moment of the boot; none where there is no lease, or no clock that could tell it. boot was
// read before now, so that the moment is not later than the end.
func leaseEndToStore(end, now time.Duration, boot boottime.Moment) boottime.Moment {
	if end == 0 || boot.Boot == "" {
		return boottime.Moment{}
	}
	return boot.Add(end - now)
}

// leaseEndFromStore returns the end of a lease by the node's time; 0, a time long past, where it cannot be told: another boot, no clock, or
// an end that is further off than a whole lease. now was read before boot, so that the end is not later than it was.
func leaseEndFromStore(stored boottime.Moment, lease, now time.Duration, boot boottime.Moment) time.Duration {
	left, known := boot.Until(stored)
	if !known || left > lease {
		return 0
	}
	return now + left
}
