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

// What a node must not say to a client is found, and each query counts under one answer.
func TestClientsFindWhatANodeMustNotSay(t *testing.T) {
	for name, tc := range map[string]struct {
		says  string // to the first line
		found string // "" where it is sound
		count func(Report) int
	}{
		"a receipt of no host":    {"UP h0.1\r\n", "which no host has said", func(r Report) int { return r.Up }},
		"two final answers":       {"BUSY 1\r\nBUSY\r\n", "after its final", func(r Report) int { return r.Busy }},
		"served after an error":   {"ERR\r\nUP h0.1\r\n", "after its final", func(r Report) int { return r.Failed }},
		"a line that nobody said": {"UP h1.1\r\nM 7\r\n", "which had said", func(r Report) int { return r.Up }},
		"busy":                    {"BUSY 1\r\n", "", func(r Report) int { return r.Busy }},
		"an error":                {"ERR no\r\n", "", func(r Report) int { return r.Failed }},
		"nothing":                 {"", "", func(r Report) int { return r.Lost }},
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
					if strings.Contains(tc.says, "h1.1") { // this receipt is sound
						w.upLines.Store("UP h1.1", strings.Fields(line + " - -")[1])
					}
					_, _ = c.Write([]byte(tc.says))
					_ = c.(*net.TCPConn).CloseWrite()
				}
			}()
			w.clientLinks["n0"].Aim(ln.Addr().String())
			c := w.Come(Load{PerSecond: 1000, Total: 1, Again: 1, Every: time.Millisecond})
			w.Await("it is found", func() bool {
				r := c.Report()
				return tc.count(r) > 0 && (tc.found == "" || len(r.Violations) > 0)
			})
			c.Stop()
			for _, v := range w.Violations(Allowance{}) {
				assert.Contains(t, v.What, or(tc.found, "none expected"))
			}
			r := c.Report()
			assert.Equal(t, r.Asked, r.Up+r.Busy+r.Failed+r.Lost)
		})
	}
}
