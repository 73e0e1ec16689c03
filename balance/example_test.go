package balance_test

import (
	"fmt"
	"time"

	"lichenhitch/balance"
)

func Example() {
	b := balance.New(balance.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes:     []balance.Class{{Name: "feed", LatencyTarget: 500 * time.Millisecond, Effect: balance.Safe}},
	}, 42)
	b.Handle(0, balance.ServerList{Kind: balance.ListFull, Entries: []balance.Listing{
		{Server: "a", Weight: 1}, {Server: "b", Weight: 1},
	}})
	b.Handle(0, balance.Probed{Server: "a", Report: balance.Report{Known: balance.HasRatio, Ratio: 0.7}})
	b.Handle(0, balance.Probed{Server: "b", Report: balance.Report{Known: balance.HasRatio, Ratio: 0.2}})
	arrival := balance.Arrival{Request: 1, Class: "feed", TimeLeft: 2 * time.Second}
	for _, action := range b.Handle(time.Second, arrival) {
		fmt.Printf("%T %+v\n", action, action)
	}
	// Output: balance.Place {Request:1 Server:b Timeout:1s SendBy:0s}
}
