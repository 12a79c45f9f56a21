package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency states whether a request of a class may be repeated.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent         Idempotency = iota // may always be repeated and rejected
	WithIdempotencyKey                    // servers of a DedupScope discard repeats during the DedupWindow
	NonIdempotent                         // may be repeated or rejected only if no attempt has run
)

// DedupScope is the set of servers that share their record of idempotency keys. A server discards a request
// whose key any server of its scope has seen within the DedupWindow.
type DedupScope int

// The deduplication scopes.
const (
	DedupScopeAll  DedupScope = iota // all servers
	DedupScopeZone                   // the servers of one zone
	DedupScopeCell                   // the servers of one cell
)

// Class holds the properties of one class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency

	// DedupScope and DedupWindow apply to WithIdempotencyKey only. DedupWindow is how long after the first
	// attempt the servers of the scope recognise repeats.
	DedupScope  DedupScope
	DedupWindow time.Duration

	PriorityWeight          float64       // value of one connection relative to other classes; defaults to 1
	SetupLatencyObjective   time.Duration // defaults to a third of the request's Timeout
	Timeout                 time.Duration // how long clients wait; zero means that each request states it
	MessageLatencyObjective time.Duration // zero means no objective
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name            string
	ConnectionQuota float64 // open connections at all gateways together; zero means no quota
}

// Settings holds the configuration of a gateway's Balancer, which is fixed at its start.
type Settings struct {
	Seed     uint64 // seed of this gateway's jitter; placement never depends on it
	Gateways int    // number of gateways that share the load; defaults to 1
	Classes  []Class
	Tenants  []Tenant

	OverQuotaWeightFactor float64       // PriorityWeight is multiplied by it above a quota; zero means 1
	MaxAttempts           int           // attempts for one request, the first included; defaults to 1
	MaxRetryAfter         time.Duration // longest Retry-After that clients follow; zero means none is sent
	CanPollLoad           bool          // servers answer PollLoad with a LoadReport

	// FlowRetention is how long servers keep a connection after its packets have stopped arriving. Zero means
	// that they do not keep it.
	FlowRetention     time.Duration
	DrainGrace        time.Duration // time after which nothing may be sent to a draining or removed server
	RemovalIsAdvisory bool          // servers listed as removed may still be sent to; draining is binding

	// WarmupDuration is the time after its start in which a server's process reaches its full capacity. Zero
	// means that it has full capacity at once. A server that is warming up fails if it is sent more than
	// ColdOverloadFactor times its capacity for ColdOverloadDuration, which defaults to one second.
	WarmupDuration       time.Duration
	ColdOverloadFactor   float64
	ColdOverloadDuration time.Duration

	// Within any RetryBudgetWindow, RetryBudgetMin retries are allowed, plus RetryBudgetRatio retries for
	// each request of the window. A RetryBudgetWindow of zero means the default retry budget.
	RetryBudgetWindow time.Duration
	RetryBudgetMin    float64
	RetryBudgetRatio  float64
}

// SettingError reports a setting that is out of range. The operator has to correct the configuration.
type SettingError struct {
	Setting string // name of the field of Settings, or of the class
	Problem string
}

func (e *SettingError) Error() string { return "balancer: " + e.Setting + " " + e.Problem }

// defaultColdOverloadDuration applies if ColdOverloadDuration is zero.
const defaultColdOverloadDuration = time.Second

// defaultPriorityWeight applies if a class's PriorityWeight is zero.
const defaultPriorityWeight = 1

// validate returns a *SettingError for the first setting that is out of range, or nil.
func (s *Settings) validate() error {
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"FlowRetention", float64(s.FlowRetention)},
		{"DrainGrace", float64(s.DrainGrace)},
		{"WarmupDuration", float64(s.WarmupDuration)},
		{"ColdOverloadDuration", float64(s.ColdOverloadDuration)},
		{"ColdOverloadFactor", s.ColdOverloadFactor},
		{"MaxRetryAfter", float64(s.MaxRetryAfter)},
		{"RetryBudgetWindow", float64(s.RetryBudgetWindow)},
		{"RetryBudgetMin", s.RetryBudgetMin},
		{"RetryBudgetRatio", s.RetryBudgetRatio},
		{"OverQuotaWeightFactor", s.OverQuotaWeightFactor},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return &SettingError{f.name, fmt.Sprintf("is %v, not a finite number of 0 or more", f.value)}
		}
	}
	names := make(map[string]bool, len(s.Classes))
	for _, c := range s.Classes {
		if names[c.Name] {
			return &SettingError{fmt.Sprintf("class %q", c.Name), "is given twice"}
		}
		names[c.Name] = true
		if c.SetupLatencyObjective < 0 || c.Timeout < 0 || c.DedupWindow < 0 ||
			c.MessageLatencyObjective < 0 || c.PriorityWeight < 0 {
			return &SettingError{fmt.Sprintf("class %q", c.Name), "has a negative number"}
		}
	}
	return nil
}

// withDefaults returns the settings with zero values replaced by their defaults. It appends a non-idempotent
// class, the strictest kind, which applies to requests of unknown classes.
func (s Settings) withDefaults() Settings {
	s.Gateways = max(s.Gateways, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	if s.ColdOverloadDuration == 0 {
		s.ColdOverloadDuration = defaultColdOverloadDuration
	}
	s.Classes = append(slices.Clone(s.Classes), Class{Idempotency: NonIdempotent})
	for i := range s.Classes {
		if c := &s.Classes[i]; c.PriorityWeight == 0 {
			c.PriorityWeight = defaultPriorityWeight
		}
	}
	return s
}

// configuredClasses returns the configured classes, without the one that withDefaults appends.
func (s *Settings) configuredClasses() []Class { return s.Classes[:len(s.Classes)-1] }
