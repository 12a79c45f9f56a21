// Package loadshed decides what a fleet sheds under overload: the lowest tiers first, at all instances alike. Each instance
// tells how large a share of all requests it holds should be shed, and what it is asked for by tier; all go by the median of
// the shares and the sum of what is asked. Events in, a level out; it does no I/O and reads no clock.
package loadshed

import (
	"math"
	"slices"
	"time"
)

// Settings are what a decision goes by. Ranks number tiers from 0, the lowest, on.
type Settings struct {
	Priorities       int
	MinAdmittedRatio float64 // part of the lowest tier that is let in whatever happens
}

const (
	// Tick is how often Handle is to see Own, and digests are to be sent.
	ReportInterval = 200 * time.Millisecond
	// fresh is how long a digest counts: one that is later tells of another load.
	fresh = 5 * ReportInterval
	// starving is the part of what is let in that may be refused for want of room without more being shed. Real gateways
	// refuse some that nodes could still take; with a hundredth, all but the highest tier was shed though there was room.
	starving = 0.05
	// margin is shed beyond what was refused, so that the next small change does not refuse the higher tiers again.
	margin = 0.015
	// raise is the most that a share grows by in a tick. When an overload begins nodes turn all away for a moment, and what
	// they bear is not known yet: whole steps were seen to shed nine tenths, of which two thirds was for nothing.
	raise = 0.08
	// openAfter is how long all that is let in has to be served before more is, and openShare how much more a second at
	// first; it grows by as much each second. Where that was too much, the next try comes after twice as long, openMost at
	// the most.
	openAfter = 8 * time.Second
	openMost  = time.Minute
	openShare = 0.01
	// bestFades is the part of the most that was served which is forgotten a second. What is served just now is no measure of
	// what nodes bear: gateways give nodes less while these turn them away, and were seen to shed all of the highest tier
	// by that.
	bestFades = 0.05
	most      = 0.99 // of all requests
	smooth    = 0.5  // of a tick's counts in what is held of late
)

// Report is what an instance tells the others.
type Report struct {
	ShedRatio    float64   // of all requests, that is to be shed
	RequestRates []float64 // requests a second, by rank
}

// Event is what happened. The concrete types are those below.
type Event interface{ event() }

type (
	// LocalCounts are this instance's counts since the last Own, by rank.
	LocalCounts struct{ Requests, Rejected, Shed []uint64 }
	// PeerReport is a peer's digest. One of an earlier life, or out of order, is of no use.
	PeerReport struct {
		Peer        string
		Incarnation uint64
		Sequence    uint64
		Report      Report
	}
)

func (LocalCounts) event() {}
func (PeerReport) event()  {}

type heard struct {
	PeerReport
	at time.Duration
}

// Shedder decides for one instance.
type Shedder struct {
	set     Settings
	peers   map[string]heard
	asked   []float64 // a second
	letIn   float64   // a second
	refused float64
	best    float64       // the most that was served a second, of late
	share   float64       // wanted here
	starved time.Duration // when somebody let in was refused last
	wait    time.Duration // from then until more is let in
	opening bool          // more has been let in since
	opened  bool          // an Own has come
}

// New returns a Tiers.
func New(set Settings) *Shedder {
	return &Shedder{set: set, peers: map[string]heard{}, asked: make([]float64, set.Priorities)}
}

// Handle takes an event. After Own it returns what to tell the others, and the level: ranks under its whole part are shed,
// and of the rank at it the part behind the point.
func (t *Shedder) Handle(now time.Duration, ev Event) (d Report, level float64) {
	switch ev := ev.(type) {
	case PeerReport:
		old := t.peers[ev.Peer]
		if ev.Incarnation > old.Incarnation || ev.Incarnation == old.Incarnation && ev.Sequence > old.Sequence {
			if sound(ev.Report, t.set.Priorities) {
				t.peers[ev.Peer] = heard{ev, now}
			}
		}
		return d, 0
	case LocalCounts:
		t.count(ev)
	}
	all := t.digests(now)
	t.share = t.want(now, medianShare(all[1:]))
	own := Report{ShedRatio: t.share, RequestRates: slices.Clone(t.asked)}
	return own, t.level(medianShare(append(t.digests(now)[1:], own)), append(all[1:], own))
}

// sound reports whether a digest has figures that can be gone by.
func sound(d Report, ranks int) bool {
	if len(d.RequestRates) != ranks || !(d.ShedRatio >= 0 && d.ShedRatio <= 1) {
		return false
	}
	for _, a := range d.RequestRates {
		if !(a >= 0) || math.IsInf(a, 1) {
			return false
		}
	}
	return true
}

func (t *Shedder) count(o LocalCounts) {
	var letIn, refused float64
	for i := range t.set.Priorities {
		asked := float64(o.Requests[i]) / ReportInterval.Seconds()
		t.asked[i] += smooth * (asked - t.asked[i])
		letIn += asked - float64(o.Shed[i])/ReportInterval.Seconds()
		refused += float64(o.Rejected[i]) / ReportInterval.Seconds()
	}
	t.letIn += smooth * (letIn - t.letIn)
	t.refused += smooth * (refused - t.refused)
	t.best = max(t.letIn-t.refused, t.best*(1-bestFades*ReportInterval.Seconds()))
}

// digests are those that count now, this instance's last one first.
func (t *Shedder) digests(now time.Duration) []Report {
	all := []Report{{ShedRatio: t.share, RequestRates: t.asked}}
	for _, h := range t.peers {
		if now-h.at <= fresh {
			all = append(all, h.Report)
		}
	}
	return all
}

// medianShare is the middle of what instances want shed: one that claims anything moves it by one place.
func medianShare(all []Report) float64 {
	if len(all) == 0 {
		return 0
	}
	shares := make([]float64, len(all))
	for i, d := range all {
		shares[i] = d.ShedRatio
	}
	return median(shares)
}

func median(x []float64) float64 {
	slices.Sort(x)
	if n := len(x); n%2 == 0 {
		return (x[n/2-1] + x[n/2]) / 2
	}
	return x[len(x)/2]
}

// want is the share that this instance holds right: while what is let in here is refused, all beyond the most that was served
// of late, and less once nobody was refused for a time. It keeps to its own share, as each would follow one that lies a
// little. What is refused now is no measure for the next step, as a step shows some ticks later: by it steps went on until a
// fifth of the highest tier was shed for nothing.
func (t *Shedder) want(now time.Duration, others float64) float64 {
	if !t.opened { // one that joins begins where the others stand
		t.opened, t.starved, t.wait, t.share = true, now, openAfter, others
	}
	asked := 0.0
	for _, a := range t.asked {
		asked += a
	}
	part := t.refused / max(t.letIn, 1e-9)
	switch {
	case t.refused > 0.5 && part > starving:
		if t.opening {
			t.opening, t.wait = false, min(2*t.wait, openMost)
		}
		t.starved = now
		right := max(1-t.best/max(asked, 1e-9)+margin, t.share)
		return min(right, t.share+raise, most)
	case t.share == 0:
		t.opening, t.wait = false, openAfter
	case now-t.starved > t.wait:
		t.opening = true
		pace := openShare * (1 + (now - t.starved - t.wait).Seconds())
		return max(t.share-pace*ReportInterval.Seconds(), 0)
	}
	return t.share
}

// trimmed is the mean without the least and the most, where there are more than two: what one claims does not count.
func trimmed(x []float64) (mean float64) {
	slices.Sort(x)
	if len(x) > 2 {
		x = x[1 : len(x)-1]
	}
	for _, v := range x {
		mean += v / float64(len(x))
	}
	return mean
}

// level is where a share cuts, by what instances are asked for.
func (t *Shedder) level(share float64, all []Report) float64 {
	mix, sum := make([]float64, t.set.Priorities), 0.0
	for k := range mix {
		of := make([]float64, len(all))
		for i, d := range all {
			of[i] = d.RequestRates[k]
		}
		mix[k] = trimmed(of)
		sum += mix[k]
	}
	shed, level := share*sum, 0.0
	for k, a := range mix {
		if shed <= 0 {
			break
		}
		part := 1.0
		if a > 0 {
			part = min(shed/a, 1)
		}
		if k == 0 {
			part = min(part, 1-t.set.MinAdmittedRatio)
		}
		shed -= a
		if level = float64(k) + part; part < 1 && k > 0 {
			break
		}
	}
	return level
}
