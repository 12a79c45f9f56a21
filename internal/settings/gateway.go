package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway holds the settings that a real gateway itself goes by; the balancer's decisions don't depend on them.
type Gateway struct {
	ConnectTimeout            time.Duration // until a connection to a server is established; 0: no bound is stated
	ConnectionsOutliveGateway bool          // their packets reach another gateway when this one is gone
	ReportsMessageDelay       bool          // the balancer wants to know of slow messages
	ReportsConnectionLoad     bool          // and of the connections' loads
	CanPollLoad               bool          // servers may be polled for their load, and report it
	MessageLatencyObjective   time.Duration // the shortest of the classes' ones; 0: none is stated
	AnswerGrace               time.Duration // a final answer may come this long after the client's deadline
	MaxClassTimeout           time.Duration // the longest time that a class's clients wait; 0: none is stated
}

// Gateway reads the settings of a gateway. An error is a *ValueError.
func (p Pairs) Gateway() (Gateway, error) {
	d := &decoder{pairs: p}
	g := Gateway{
		ConnectTimeout:        d.duration("caps.connect_timeout_ns"),
		ReportsMessageDelay:   d.boolean("family_info.tells_delay"),
		ReportsConnectionLoad: d.boolean("family_info.tells_load"),
		AnswerGrace:           d.duration("rules.grace_to_answer_ns"),
		CanPollLoad:           d.boolean("caps.probes") && p.reportsLoad(),
	}
	switch p["family_info.mode"] {
	case "pass":
		g.ConnectionsOutliveGateway = true
	case "", "proxy", null:
	default:
		d.fail("family_info.mode", "pass or proxy")
	}
	for _, objective := range d.durations("family_info.message_aim_ns") {
		if objective > 0 && (g.MessageLatencyObjective == 0 || objective < g.MessageLatencyObjective) {
			g.MessageLatencyObjective = objective
		}
	}
	for i := range d.count("classes") {
		g.MaxClassTimeout = max(g.MaxClassTimeout, d.duration(item("classes", i, "give_up_ns")))
	}
	return g, d.err
}

// reportsLoad reports whether servers' answers to polls hold their load, in one of the two fields for it.
func (p Pairs) reportsLoad() bool {
	fields := strings.Split(p["reporting.fields"], ",")
	return slices.Contains(fields, "x0") || slices.Contains(fields, "x1")
}
