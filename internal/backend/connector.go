// Package backend speaks the platform's line protocol with hosts. Each attempt has a connection of its own, and
// the probes of a host share one persistent connection.
package backend

import (
	"log/slog"
	"time"

	"lichenhitch/balance"
	"lichenhitch/internal/evloop"
	"lichenhitch/internal/query"
)

// Opener is implemented by clients of this protocol in addition to query.Client: it provides the first line that
// the client sent. The core does not handle lines, so the attempt gets it from the client.
type Opener interface {
	OpenLine(to []byte, timeLeft time.Duration) []byte
}

// Connector connects to hosts, for attempts and for probes.
type Connector struct {
	log            *slog.Logger
	loop           *evloop.Loop
	core           *query.Core
	connectTimeout time.Duration
	endpoint       func(balance.ServerID) string
	probes         map[balance.ServerID]*probe
}

// New returns a connector. endpoint returns the address of a host, or "" if the host is not listed.
func New(log *slog.Logger, loop *evloop.Loop, core *query.Core, connectTimeout time.Duration,
	endpoint func(balance.ServerID) string) *Connector {
	return &Connector{log: log, loop: loop, core: core, connectTimeout: connectTimeout, endpoint: endpoint,
		probes: make(map[balance.ServerID]*probe)}
}

// SetConnectTimeout changes how long connecting may take.
func (c *Connector) SetConnectTimeout(connectTimeout time.Duration) {
	c.connectTimeout = connectTimeout
}
