package standin2

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each returns nil if the rule held, errBroken (wrapped) if it was broken, and another error if it could not
// run. trouble is false if the case runs without its disruption.
var cases = map[string]func(rec *recorder, folder string, trouble bool) error{}

// Main plays a case, writes its record to a folder and ends the program: with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the case runs without its disruption.
func Main(name, folder string) { os.Exit(play(name, folder)) }

// play runs a case, writes its record to a folder, and returns the exit code.
func play(name, folder string) int {
	if cases[name] == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	var err error
	if root, err = os.Getwd(); err == nil {
		_, err = os.Stat(filepath.Join(root, "deploy", "balancer.toml"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "run from the root of the repository:", err)
		return 2
	}
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "review2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println(temporary)
	}
	defer endAll()
	signal.Ignore(syscall.SIGPIPE) // the processes have to be ended also when nobody reads the verdict
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- cases[name](rec, temporary, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-result:
	case <-time.After(115 * time.Second):
		err = errors.New("the case took longer than 115 s")
	case s := <-interrupted:
		err = fmt.Errorf("got %v", s)
	}
	endAll()
	switch {
	case err == nil:
		rec.say("%s: the rule held", name)
		return 0
	case errors.Is(err, errBroken):
		rec.say("%s: %v", name, err)
		return 1
	}
	rec.say("%s: could not run: %v", name, err)
	return 2
}
