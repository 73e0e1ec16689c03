package processes

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The clients report responses that a node must not send, and count each request under exactly one outcome.
func TestClientsDetectInvalidResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		response string // to the first line
		found    string // part of the violation; "" if the response is valid
		count    func(Report) int
	}{
		"a receipt of no host":    {"UP h0.1\r\n", "which no host has sent", func(r Report) int { return r.Served }},
		"two final answers":       {"BUSY 1\r\nBUSY\r\n", "after its final", func(r Report) int { return r.Busy }},
		"served after an error":   {"ERR\r\nUP h0.1\r\n", "after its final", func(r Report) int { return r.Failed }},
		"an echo of another line": {"UP h1.1\r\nM 7\r\n", "which had sent", func(r Report) int { return r.Served }},
		"busy":                    {"BUSY 1\r\n", "", func(r Report) int { return r.Busy }},
		"an error":                {"ERR no\r\n", "", func(r Report) int { return r.Failed }},
		"nothing":                 {"", "", func(r Report) int { return r.Unanswered }},
		"moved":                   {"UP h1.1\r\nMOVE\r\n", "", func(r Report) int { return r.Moved }},
		"broken":                  {"UP h1.1\r\n", "", func(r Report) int { return r.Broken }},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(t, Plan{Seed: 1, NoSiteFile: true, Sites: []Site{{Name: "b", Nodes: []string{"n0"}}}})
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { ln.Close() })
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					line, _ := bufio.NewReader(c).ReadString('\n')
					if strings.Contains(tc.response, "h1.1") { // this receipt is valid
						w.upLines.Store("UP h1.1", strings.Fields(line + " - -")[1])
					}
					_, _ = c.Write([]byte(tc.response))
					_ = c.(*net.TCPConn).CloseWrite()
				}
			}()
			w.clientLinks["n0"].SetTarget(ln.Addr().String())
			c := w.StartClients(Load{PerSecond: 1000, Total: 1, MaxReconnects: 1, LineInterval: time.Millisecond})
			w.Await("the outcome is counted and the violation, if any, is reported", func() bool {
				r := c.Report()
				return tc.count(r) > 0 && (tc.found == "" || len(r.Violations) > 0)
			})
			c.Stop()
			for _, v := range w.Violations(Allowance{}) {
				assert.Contains(t, v.What, orDefault(tc.found, "none expected"))
			}
			r := c.Report()
			assert.Equal(t, r.Requests, r.Served+r.Busy+r.Failed+r.Unanswered)
		})
	}
}
