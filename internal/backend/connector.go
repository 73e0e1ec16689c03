// Package backend speaks the platform's lines with hosts: attempts, each on a connection of its own, and probes, on one
// lasting connection for each host.
package backend

import (
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/query"
)

// Opener is what a query's client must be besides for a host of this protocol: it gives the first line that it
// sent. The core knows no lines, so the attempt asks the client for it.
type Opener interface {
	OpenLine(to []byte, within time.Duration) []byte
}

// Connector connects to hosts, for attempts and for probes.
type Connector struct {
	log            *slog.Logger
	loop           *evloop.Loop
	core           *query.Core
	connectTimeout time.Duration // to connect
	endpoint       func(balance.ServerID) string
	probes         map[balance.ServerID]*probe
}

// New returns a connector. endpoint tells where a host is, or "".
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, connectTimeout time.Duration,
	endpoint func(balance.ServerID) string) *Connector {
	return &Connector{log: log, loop: loop, core: core, connectTimeout: connectTimeout, endpoint: endpoint,
		probes: make(map[balance.ServerID]*probe)}
}

// Retune changes how long connecting may take.
func (c *Connector) SetConnectTimeout(connectTimeout time.Duration) {
	c.connectTimeout = connectTimeout
}
