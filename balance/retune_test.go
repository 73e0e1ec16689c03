package balance_test

import (
	"testing"

	"lichenhitch/balance"
)

// answered returns the final answer in acts: "refuse", "fail" or "".
func answered(acts []balance.Action) string {
	for _, a := range acts {
		switch a.(type) {
		case balance.Refuse:
			return "refuse"
		case balance.Fail:
			return "fail"
		}
	}
	return ""
}

// A request keeps the effect and the number of attempts it came under, though the new rules allow fewer than it has made.
func TestARequestKeepsTheRulesItCameUnder(t *testing.T) {
	d := drive(t, settings(), 1)
	d.fleet(0.1, 0.2, 0.3, 0.4)
	d.arrive(1, "safe", 3*sec)
	d.end(1, 0, balance.Reset, false) // the second attempt is out
	set := settings()
	set.MaxAttempts = 1
	set.Classes = []balance.Class{{Name: "safe", LatencyTarget: 500 * ms, Effect: balance.Unsafe}, {Name: "new", LatencyTarget: 500 * ms}}
	if acts := d.do(balance.SettingsChanged{Settings: set}); len(acts) > 0 {
		t.Fatalf("new settings alone ask for %v", acts)
	}
	if got := placed(d.end(1, 1, balance.Reset, false)); got == "" {
		t.Fatal("a request that may be repeated three times is not, since the new rules are narrower")
	}
	if got := answered(d.end(1, 2, balance.Reset, false)); got != "refuse" {
		t.Fatalf("after its three attempts: %q", got)
	}

	d.now += 30 * sec // the servers are sound again
	d.fleet(0.1, 0.2, 0.3, 0.4)
	if placed(d.arrive(2, "safe", 3*sec)) == "" {
		t.Fatal("a request of the changed class is not placed")
	}
	if got := answered(d.end(2, 0, balance.Reset, false)); got != "fail" {
		t.Fatalf("one that may not be repeated now was answered %q", got)
	}
	if placed(d.arrive(3, "new", 3*sec)) == "" {
		t.Fatal("a request of the new class is not placed")
	}
	if got := answered(d.end(3, 0, balance.Unreachable, false)); got != "refuse" {
		t.Fatalf("with one attempt allowed and made: %q", got)
	}
}

// What tenants have open stays counted over new settings.
func TestTenantsStayCountedOverNewSettings(t *testing.T) {
	set := settings()
	set.Tenants = []balance.Tenant{{Name: "kota", Quota: 2}, {Name: "kab", Quota: 100}}
	d := drive(t, set, 1)
	d.fleet(0.7, 0.7)
	arrive := func(id balance.RequestID) string {
		return placed(d.do(balance.Arrival{Request: id, Class: "safe", Tenant: "kota", TimeLeft: sec}))
	}
	for id := balance.RequestID(1); id <= 2; id++ {
		if arrive(id) == "" {
			t.Fatalf("request %d within the share is turned away", id)
		}
		d.do(balance.Established{Request: id})
	}
	d.do(balance.SettingsChanged{Settings: set})
	if got := arrive(3); got != "" {
		t.Fatalf("beyond the share and with servers nearly full, a request went to %q", got)
	}
	set.Tenants[0].Quota = 50
	d.do(balance.SettingsChanged{Settings: set})
	if arrive(4) == "" {
		t.Fatal("within the new share, a request is turned away")
	}
}
