package balancer

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Idempotency states what repeating a request of a class may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent         Idempotency = iota // may be repeated and rejected freely
	WithIdempotencyKey                    // repeats are discarded within a DedupScope, for a DedupWindow
	NonIdempotent                         // may be repeated or rejected only if no attempt ran
)

// DedupScope is the set of servers that discard each other's repeats of a request with an idempotency key.
type DedupScope int

// The deduplication scopes.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class is one class of requests. Zero values have the stated meaning.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	DedupScope              DedupScope    // for WithIdempotencyKey
	DedupWindow             time.Duration // for WithIdempotencyKey: how long repeats are recognised
	PriorityWeight          float64       // value of a connection beside other classes'; 0 is taken as 1
	SetupLatencyObjective   time.Duration // 0 is taken as a third of the request's Timeout
	Timeout                 time.Duration // after which its clients give up; 0: each request states its own
	MessageLatencyObjective time.Duration // 0: none stated
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name            string
	ConnectionQuota float64 // open connections, all gateways together; 0: no quota
}

// Settings are what a gateway is configured with at its start. Zero values have the stated meaning.
type Settings struct {
	Seed     uint64 // this gateway's own; for jitter only, never for placement
	Gateways int    // gateways that share the load; 0 is taken as 1
	Classes  []Class
	Tenants  []Tenant

	OverQuotaWeightFactor float64       // part of the PriorityWeight left above a tenant's quota; 0: all
	MaxAttempts           int           // attempts for one request; 0 is taken as 1
	MaxRetryAfter         time.Duration // longest Retry-After that clients follow; 0: none is given
	CanPollLoad           bool          // servers answer PollLoad with a LoadReport

	FlowRetention     time.Duration // for which servers keep connections whose packets stopped; 0: not at all
	DrainGrace        time.Duration // sends to a draining or removed server must stop within this
	RemovalIsAdvisory bool          // servers listed as removed may still be sent to; only draining binds

	// A server whose process has started has its whole capacity after WarmupDuration; 0: at once. Until then
	// it fails if it is sent more than ColdOverloadFactor times its capacity for ColdOverloadDuration, of
	// which 0 is taken as a second.
	WarmupDuration       time.Duration
	ColdOverloadFactor   float64
	ColdOverloadDuration time.Duration

	// In each RetryBudgetWindow RetryBudgetMin retries are allowed, and RetryBudgetRatio more for each
	// request. A window of 0 stands for the balancer's own budget.
	RetryBudgetWindow time.Duration
	RetryBudgetMin    float64
	RetryBudgetRatio  float64
}

// SettingError names a setting that a Balancer cannot work with. It is mended in the configuration.
type SettingError struct {
	Setting string // the field of Settings, or the class
	Problem string
}

func (e *SettingError) Error() string { return "balancer: " + e.Setting + " " + e.Problem }

// defaultColdOverloadDuration is the meaning of a ColdOverloadDuration of 0.
const defaultColdOverloadDuration = time.Second

// defaultPriorityWeight is the meaning of a PriorityWeight of 0.
const defaultPriorityWeight = 1

// validate returns a SettingError for the first setting that is out of range.
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

// withDefaults returns the settings with zero values replaced by what they mean. A last class is added, of
// the strictest kind, for requests that no class describes.
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

// configuredClasses are the classes of the settings as given, without the added one.
func (s *Settings) configuredClasses() []Class { return s.Classes[:len(s.Classes)-1] }
