package settings

import (
	"slices"
	"strings"
	"time"
)

// Gateway holds the settings of the gateway that serves real connections. The balancer's decisions don't depend on them.
type Gateway struct {
	ConnectTimeout            time.Duration // limit on establishing a connection to a server; zero means that none is stated
	ConnectionsOutliveGateway bool          // whether their packets reach another gateway when this one is gone
	ReportsMessageDelay       bool          // whether the balancer is notified of slow messages
	ReportsConnectionLoad     bool          // whether the balancer is notified of the connections' loads
	CanPollLoad               bool          // whether servers may be polled and include their load in the answer
	MessageLatencyObjective   time.Duration // the shortest objective of a class; zero means that none is stated
	AnswerGrace               time.Duration // how long after the client's deadline a final answer still counts
	MaxClassTimeout           time.Duration // the longest timeout of a class; zero means that none is stated
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
	for i := range d.listLen("classes") {
		g.MaxClassTimeout = max(g.MaxClassTimeout, d.duration(memberPath("classes", i, "give_up_ns")))
	}
	return g, d.err
}

// reportsLoad reports whether servers' answers to load polls include one of the two fields that hold their load.
func (p Pairs) reportsLoad() bool {
	fields := strings.Split(p["reporting.fields"], ",")
	return slices.Contains(fields, "x0") || slices.Contains(fields, "x1")
}
