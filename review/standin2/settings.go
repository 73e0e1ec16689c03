package standin2

import "time"

// usualClasses are the classes of the building gedung-a.
func usualClasses() []class {
	return []class{
		{name: "job-status", semantics: "read_like", aim: 300 * time.Millisecond, wait: 1200 * time.Millisecond, points: 3, share: 0.35},
		{name: "queue-view", semantics: "read_like", aim: 500 * time.Millisecond, wait: 3000 * time.Millisecond, points: 2, share: 0.27},
		{name: "proof-fetch", semantics: "read_like", aim: 800 * time.Millisecond, wait: 3200 * time.Millisecond, points: 3, share: 0.24},
		{name: "template-list", semantics: "read_like", aim: 800 * time.Millisecond, wait: 3200 * time.Millisecond, points: 1, share: 0.14},
	}
}

// settingsOf returns the settings of a small deployment with the classes given, in the form of the wire page.
func settingsOf(classes []class, mode string) map[string]any {
	var list []any
	var aims []float64
	for _, c := range classes {
		window := c.window
		if window == 0 {
			window = 5 * time.Second
		}
		list = append(list, map[string]any{"name": c.name, "semantics": c.semantics, "aim_us": c.aim.Microseconds(),
			"deadline_us": c.wait.Microseconds(), "group": "all", "late_value": 0.0, "points": c.points, "streamed": true,
			"window_us": window.Microseconds()})
		aims = append(aims, 250000)
	}
	return map[string]any{
		"areas": []string{"gedung-a"}, "balancers": 1, "clients": map[string]any{"marks_retry": false},
		"extra": map[string]any{"groups": true, "message_aim_us": aims, "mode": mode, "park_us": 4253673, "tells_delay": true,
			"tells_load": true, "tenant_quota_connections": []float64{304, 249}},
		"family": "conn", "flavors": []string{"c2-fast", "c2-slow"}, "layer": 0, "me": 0, "my_zone": "gedung-a", "over_share_worth": 0.2,
		"parties": []any{map[string]any{"name": "kota-semarang", "quota_per_s": 1.0, "share": 0.55},
			map[string]any{"name": "kab-blora", "quota_per_s": 1.0, "share": 0.45}},
		"permissions": map[string]any{"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_request": 10.0, "cpu_us_per_s": 27211,
			"idle_close_us": 5000000, "max_attempts": 4, "max_retry_after_us": 1500000, "open_cap": 1814132, "peers": false, "probes": true,
			"retry_after": true, "second_copies": false, "streams_per_conn": 1048576},
		"registry_mode": "ask", "report": map[string]any{"how": "pull", "names": []string{"qps", "latency_ms", "queue", "x0"}},
		"request_classes": list, "round_us": 5000,
		"safety": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.37, "cold_us": 8000000,
			"drain_grace_us": 2000000, "overload_factor": 3.0, "tip_after_us": 1500000},
		"score_parts": map[string]any{"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.05},
		"tariffs": map[string]any{"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "late_fail": 0.053, "moves": 0.022, "origin": 0.0,
			"peer": 0.0, "probe": 0.0019, "registry_mode": 0.0, "waste": 0.2},
		"tiers": []string{"print-gateway"}, "weight_source": "nominal", "worth_by": "request",
	}
}
