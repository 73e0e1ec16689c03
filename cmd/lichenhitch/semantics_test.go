package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/settings"
)

// registrySettings are those of another kind of service: other names, and classes whose requests may not simply be
// repeated.
const registrySettings = `{"balancers":1,"my_zone":"z","registry_mode":"ask","round_us":2000,"weight_source":"silent",
"permissions":{"probes":true,"max_attempts":3,"retry_after":false,"connect_timeout_us":400000},
"extra":{"mode":"proxy","message_aim_us":[0,0,0,0,0]},"parties":[{"name":"harbour-office","share":1}],
"safety":{"ask_within_us":2000000,"cold_us":1000000,"cold_from":0.2,"overload_factor":2,"tip_after_us":500000,
"drain_grace_us":300000},"tariffs":{"probe":0},
"request_classes":[
 {"name":"read-berth","aim_us":900000,"deadline_us":5000000,"semantics":"read_like","points":1},
 {"name":"pay-fee","aim_us":900000,"deadline_us":5000000,"semantics":"non_idempotent","points":4},
 {"name":"book-any","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"all","window_us":60000000,"points":2},
 {"name":"book-cell","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"cell","window_us":60000000,"points":2},
 {"name":"book-brief","aim_us":900000,"deadline_us":5000000,"semantics":"idempotency_key","group":"all","window_us":1000,"points":2}]}`

// failure is the behavior of the host that gets the first attempt; hosts that get later ones serve.
type failure func(c net.Conn)

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func respond(line string) failure { return func(c net.Conn) { io.WriteString(c, line) } }

// What a class allows decides what happens after an attempt that may have run, under whatever names the settings use.
func TestWhatMayHaveRunIsRepeatedOnlyAsItsClassAllows(t *testing.T) {
	const served, failed, refused = "UP r1", "FAIL", "BUSY"
	for name, c := range map[string]struct {
		class string
		first failure
		want  string
	}{
		"a read is repeated":                               {"read-berth", resetConn, served},
		"what must not run twice is not repeated":          {"pay-fee", resetConn, failed},
		"not repeated after an error":                      {"pay-fee", respond("ERR\r\n"), failed},
		"not repeated after an invalid answer":             {"pay-fee", respond("UP\x00\r\n"), failed},
		"sent to another host if it has not run":           {"pay-fee", respond("BUSY\r\n"), served},
		"repeated on any host with a key that all know":    {"book-any", resetConn, served},
		"not repeated outside the cell that knows its key": {"book-cell", resetConn, failed},
		"sent to another cell if it has not run":           {"book-cell", respond("BUSY\r\n"), served},
		"refused after its window, as that is harmless":    {"book-brief", resetConn, refused},
	} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			script := func(line string, conn net.Conn, r *bufio.Reader) {
				if attempts.Add(1) == 1 {
					c.first(conn)
					return
				}
				echo(line, conn, r)
			}
			d := newDiscovery(t)
			a, b := newHost(t, "a", script), newHost(t, "b", script)
			inCell := func(h *host, cell string) string {
				return strings.Replace(target(h.uid, h.Addr().String(), "in_service"), `"pod_group":0`, `"pod_group":`+cell, 1)
			}
			cfg := testConfig(t, d, list(1, true, inCell(a, "1"), inCell(b, "2")))
			set, err := settings.Decode([]byte(registrySettings))
			require.NoError(t, err)
			require.NoError(t, settings.CheckComplete([]byte(registrySettings)))
			cfg.Settings, cfg.RawSettings = set, []byte(registrySettings)
			client := dial(t, startConfig(t, cfg))
			client.send("OPEN 5 7f3a c=" + c.class + ",t=harbour-office,d=5000")
			assert.Equal(t, c.want, client.receive())
			lines := len(a.firstLines()) + len(b.firstLines())
			if c.want == served {
				assert.Equal(t, 2, lines)
			} else {
				client.assertClosed()
				assert.Equal(t, 1, lines, "no second attempt")
			}
		})
	}
}
