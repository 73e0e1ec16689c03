// Package standin holds the stand-ins of the review's cases: discovery, hosts, clients, and the platform that starts and ends
// the node's processes. They follow PROTOCOL, DEPLOY and DAYS; where a page is silent, they behave like sound ones. Every address
// is a loopback address.
package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run. Times count from its creation.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Log writes a line with the present time.
func (r *Record) Log(format string, args ...any) { r.LogAt(time.Now(), format, args...) }

// LogAt writes a line with a given time.
func (r *Record) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Note writes a line to the record and to standard output.
func (r *Record) Note(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Seconds returns a time as the record prints it.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// FreeAddress returns a loopback address with a port that is free now, below those that the system gives to connections.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(22_000))
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
}
