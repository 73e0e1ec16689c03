// Package standin2 plays the cases of the second review: it starts the project's node with the command of the deploy file, and stands in
// for hosts, discovery, the front and clients, as the users' pages describe them.
package standin2

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line an event, with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(folder string) (*recorder, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &recorder{file: file, start: time.Now()}, err
}

// since returns the time since the start of the case.
func (r *recorder) since(at time.Time) time.Duration { return at.Sub(r.start) }

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return r.since(time.Now()) }

func (r *recorder) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *recorder) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.since(at).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
