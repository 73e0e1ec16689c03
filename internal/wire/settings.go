package wire

import (
	"fmt"

	"github.com/segmentio/encoding/json"

	"applepitch/balance"
)

type settings struct {
	Balancers int    `json:"balancers"`
	Me        int    `json:"me"`
	Zone      string `json:"my_zone"`
	Classes   []struct {
		Name      string  `json:"name"`
		AimUS     float64 `json:"aim_us"`
		Semantics string  `json:"semantics"`
		Group     string  `json:"group"`
		WindowUS  float64 `json:"window_us"`
		Streamed  bool    `json:"streamed"`
		Points    float64 `json:"points"`
	} `json:"request_classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"parties"`
	Registry string  `json:"registry_mode"`
	Weights  string  `json:"weight_source"`
	Round    float64 `json:"round_us"`
	Limits   struct {
		Probes       bool    `json:"probes"`
		Peers        bool    `json:"peers"`
		SecondCopies bool    `json:"second_copies"`
		MaxAttempts  int     `json:"max_attempts"`
		RetryAfter   bool    `json:"retry_after"`
		MaxRetryUS   float64 `json:"max_retry_after_us"`
	} `json:"permissions"`
	Safety struct {
		SlackUS        float64 `json:"answer_slack_us"`
		AskUS          float64 `json:"ask_within_us"`
		ColdFrom       float64 `json:"cold_from"`
		ColdUS         float64 `json:"cold_us"`
		GraceUS        float64 `json:"drain_grace_us"`
		OverloadFactor float64 `json:"overload_factor"`
		TipUS          float64 `json:"tip_after_us"`
	} `json:"safety"`
	Tariffs struct {
		CrossZone float64 `json:"cross_zone"`
		Probe     float64 `json:"probe"`
		Moves     float64 `json:"moves"`
		Peer      float64 `json:"peer"`
	} `json:"tariffs"`
	Extra struct {
		MessageAimUS []float64 `json:"message_aim_us"`
		TenantQuota  []float64 `json:"tenant_quota_connections"`
	} `json:"extra"`
}

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var groups = map[string]balance.Group{
	"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell,
}

func decodeSettings(raw json.RawMessage) (balance.Settings, error) {
	var in settings
	if err := json.Unmarshal(raw, &in); err != nil {
		return balance.Settings{}, fmt.Errorf("info: %w", err)
	}
	out := balance.Settings{
		Self: in.Me, Balancers: in.Balancers, Zone: in.Zone,
		ListOnRequest:  in.Registry == "ask",
		WeightsNominal: in.Weights == "nominal" || in.Weights == "rough",
		Probes:         in.Limits.Probes, Peers: in.Limits.Peers, SecondCopies: in.Limits.SecondCopies,
		MaxAttempts: in.Limits.MaxAttempts, Tick: micros(int64(in.Round)),
		Safety: balance.Safety{
			AnswerSlack: micros(int64(in.Safety.SlackUS)), DrainGrace: micros(int64(in.Safety.GraceUS)),
			AskWithin: micros(int64(in.Safety.AskUS)), ColdFrom: in.Safety.ColdFrom,
			ColdFor: micros(int64(in.Safety.ColdUS)), OverloadFactor: in.Safety.OverloadFactor,
			TipAfter: micros(int64(in.Safety.TipUS)),
		},
		Prices: balance.Prices{CrossZone: in.Tariffs.CrossZone, Probe: in.Tariffs.Probe,
			Move: in.Tariffs.Moves, Peer: in.Tariffs.Peer},
	}
	if in.Limits.RetryAfter {
		out.MaxRetryAfter = micros(int64(in.Limits.MaxRetryUS))
	}
	for i, t := range in.Tenants {
		tenant := balance.Tenant{Name: t.Name, Share: t.Share}
		if i < len(in.Extra.TenantQuota) {
			tenant.Quota = in.Extra.TenantQuota[i]
		}
		out.Tenants = append(out.Tenants, tenant)
	}
	for i, c := range in.Classes {
		effect, ok := effects[c.Semantics]
		if !ok {
			return out, fmt.Errorf("info: class %q: unknown semantics %q", c.Name, c.Semantics)
		}
		group, ok := groups[c.Group]
		if !ok {
			return out, fmt.Errorf("info: class %q: unknown group %q", c.Name, c.Group)
		}
		class := balance.Class{Name: c.Name, Aim: micros(int64(c.AimUS)), Effect: effect, Group: group,
			Window: micros(int64(c.WindowUS)), Streamed: c.Streamed, Worth: c.Points}
		if i < len(in.Extra.MessageAimUS) {
			class.MessageAim = micros(int64(in.Extra.MessageAimUS[i]))
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}
