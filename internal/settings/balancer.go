package settings

import (
	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// The platform's words for the idempotency of a class's requests, and for the scope in which duplicates are detected.
var (
	idempotencies = map[string]balancer.Idempotency{
		"":             balancer.NonIdempotent,
		"at_most_once": balancer.NonIdempotent,
		"idempotent":   balancer.Idempotent,
		"deduplicated": balancer.WithIdempotencyKey,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"":     balancer.DedupScopeCell,
		"cell": balancer.DedupScopeCell,
		"zone": balancer.DedupScopeZone,
		"all":  balancer.DedupScopeAll,
	}
)

// Balancer reads the settings of the balancer. An error is a *ValueError.
func (p Pairs) Balancer() (*balancer.Settings, error) {
	d := &decoder{pairs: p}
	if d.number("rules.start_capacity") > 1 { // the balancer doesn't use it, but a value above 1 contradicts itself
		d.fail("rules.start_capacity", "a share, between 0 and 1")
	}
	s := &balancer.Settings{
		Seed:                  uint64(d.integer("init_seed")),
		Gateways:              int(d.integer("replicas_of_me")),
		OverQuotaWeightFactor: d.number("over_share_worth"),
		MaxAttempts:           int(d.integer("caps.max_attempts")),
		FlowRetention:         d.duration("family_info.park_ns"),
		DrainGrace:            d.duration("rules.stop_sending_within_ns"),
		WarmupDuration:        d.duration("rules.cold_ns"),
		ColdOverloadFactor:    d.number("rules.tip_multiple"),
		ColdOverloadDuration:  d.duration("rules.fall_ns"),
		RemovalIsAdvisory:     d.boolean("rules.gone_is_advice"),
		RetryBudgetWindow:     d.duration("rules.ratio_span_ns"),
		RetryBudgetMin:        d.number("rules.extra_free"),
		RetryBudgetRatio:      d.number("rules.budget_share"),
	}
	if d.boolean("caps.retry_after") {
		s.MaxRetryAfter = d.duration("caps.max_retry_after_ns")
	}
	s.Classes = d.classes()
	s.Tenants = d.tenants()
	return s, d.err
}

// classes reads the list of classes.
func (d *decoder) classes() (classes []balancer.Class) {
	messageObjectives := d.durations("family_info.message_aim_ns")
	for i := range d.listLen("classes") {
		class := d.class(i)
		class.MessageLatencyObjective = itemOrZero(messageObjectives, i)
		classes = append(classes, class)
	}
	return classes
}

// class reads the class at an index of the list.
func (d *decoder) class(index int) balancer.Class {
	member := func(name string) string { return memberPath("classes", index, name) }
	idempotency, ok := idempotencies[d.pairs[member("effect")]]
	if !ok {
		d.fail(member("effect"), "a known effect")
	}
	scope, ok := dedupScopes[d.pairs[member("group")]]
	if !ok {
		d.fail(member("group"), "a known group")
	}
	return balancer.Class{
		Name:                  d.pairs[member("name")],
		Idempotency:           idempotency,
		DedupScope:            scope,
		DedupWindow:           d.duration(member("window_ns")),
		PriorityWeight:        d.number(member("worth")),
		SetupLatencyObjective: d.duration(member("slo_ns")),
		Timeout:               d.duration(member("give_up_ns")),
	}
}

// tenants reads the list of tenants, and the list that holds their connection quotas.
func (d *decoder) tenants() (tenants []balancer.Tenant) {
	quotas := d.numbers("family_info.tenant_quota_connections")
	for i := range d.listLen("tenants") {
		tenants = append(tenants, balancer.Tenant{
			Name: d.pairs[memberPath("tenants", i, "name")], ConnectionQuota: itemOrZero(quotas, i),
		})
	}
	return tenants
}

// ListRefresh reads the settings of the endpoint list's refresh. If the settings don't say how the list is obtained, it is
// polled, because a gateway always has the address of its discovery service. An error is a *ValueError.
func (p Pairs) ListRefresh() (refresh.Settings, error) {
	d := &decoder{pairs: p}
	s := refresh.Settings{
		Gateways:        int(d.integer("replicas_of_me")),
		MaxPollInterval: d.duration("rules.ask_within_ns"),
		DrainGrace:      d.duration("rules.stop_sending_within_ns"),
		Seed:            uint64(d.integer("init_seed")),
	}
	switch p["discovery"] {
	case "push":
		s.LocalAgent = true
	case "", "ask", null:
	default:
		d.fail("discovery", "ask or push")
	}
	return s, d.err
}
