package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Classes of semarang-cetak that the cases use.
var (
	JobStatus  = Class{"job-status", 1200 * time.Millisecond}
	QueueView  = Class{"queue-view", 3000 * time.Millisecond}
	ProofFetch = Class{"proof-fetch", 3200 * time.Millisecond}
)

// AllClasses are the classes of semarang-cetak.
var AllClasses = []Class{JobStatus, QueueView, ProofFetch, {"template-list", 3200 * time.Millisecond}}

// Settings returns settings like those of semarang-cetak, with the given classes.
func Settings(mode string, classes []Class) map[string]any {
	aims := map[string]int{"job-status": 300_000, "queue-view": 500_000, "proof-fetch": 800_000, "template-list": 800_000}
	messages := map[string]int{"job-status": 250_000, "queue-view": 60_000, "proof-fetch": 60_000, "template-list": 50_000}
	worth := map[string]float64{"job-status": 3, "queue-view": 2, "proof-fetch": 3, "template-list": 1}
	var list []any
	var messageAims []any
	for _, c := range classes {
		list = append(list, map[string]any{"name": c.Name, "aim_us": aims[c.Name], "deadline_us": c.Deadline.Microseconds(), "semantics": "read_like",
			"group": "all", "streamed": true, "points": worth[c.Name], "window_us": 5_000_000, "late_value": 0.0})
		messageAims = append(messageAims, messages[c.Name])
	}
	return map[string]any{
		"areas": []any{"gedung-a"}, "my_zone": "gedung-a", "balancers": 1, "me": 0, "registry_mode": "ask", "weight_source": "nominal",
		"family": "conn", "round_us": 5000, "request_classes": list, "flavors": []any{"c2-fast", "c2-slow"},
		"parties": []any{map[string]any{"name": "kota-semarang", "quota_per_s": 7.0, "share": 0.55},
			map[string]any{"name": "kab-blora", "quota_per_s": 7.0, "share": 0.45}},
		"permissions": map[string]any{"cancel": true, "connect_timeout_us": 250_000, "max_attempts": 4, "max_retry_after_us": 1_500_000,
			"peers": false, "probes": true, "retry_after": true, "second_copies": false},
		"report": map[string]any{"how": "pull", "names": []any{"qps", "latency_ms", "queue", "x0"}},
		"safety": map[string]any{"answer_slack_us": 20_000, "ask_within_us": 10_000_000, "cold_from": 0.37, "cold_us": 8_000_000,
			"drain_grace_us": 2_000_000, "overload_factor": 3.0, "tip_after_us": 1_500_000},
		"tariffs": map[string]any{"cross_zone": 0.0, "moves": 0.022, "peer": 0.0, "probe": 0.0019, "waste": 0.2},
		"extra": map[string]any{"mode": mode, "groups": true, "message_aim_us": messageAims,
			"tenant_quota_connections": []any{1000.0, 1000.0}},
	}
}

// platform is the one of this run, to be ended in any case.
var platform *Platform

// Main runs a case, with the path of its record as the only argument.
func Main(limit time.Duration, run func(*Record) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := NotRun
	done := make(chan struct{})
	go func() {
		defer close(done)
		if code, err = run(record); err != nil {
			record.Note("the case could not run: %v", err)
			code = NotRun
		}
	}()
	exit := NotRun
	select {
	case <-done:
		exit = code
	case <-time.After(limit):
		record.Note("the case could not run: it took longer than %v", limit)
		endPlatform()
	case s := <-ended:
		record.Note("the case could not run: it was ended by %v", s)
		endPlatform()
	}
	os.Exit(exit)
}

// endPlatform ends the processes of a run that does not come to its end.
func endPlatform() {
	if platform != nil {
		platform.End()
	}
}

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
