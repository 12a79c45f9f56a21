package balancer

import "time"

// This file is what one process of a gateway passes to the next of what it has learned. It decides nothing.

// Snapshot is what a Balancer knows beyond the list and its requests. Times are on the event clock, which
// both processes share.
type Snapshot struct {
	Servers            []ServerSnapshot `json:"Servers"`
	ClassLoads         []WeightedMean   `json:"Classes"` // mean loads by class, in the settings' order
	MeanLoad           WeightedMean     `json:"Load"`    // and of all together
	ConnectionCapacity WeightedMean     `json:"Bears"`   // connections that a warm server of weight 1 bears
}

const maxLoadLimit = 1e15

// WeightedMean is a mean and its weight.
type WeightedMean struct {
	Value  float64 `json:"Value"`
	Weight float64 `json:"Weight"`
}

// ServerSnapshot is what is known of one server's process.
type ServerSnapshot struct {
	ID             ServerID      `json:"ID"`
	Started        time.Duration `json:"Started"` // of the process that this is known of
	LoadLimit      float64       `json:"Limit"`   // 0: none
	LimitLoweredAt time.Duration `json:"CutAt"`
	PausedUntil    time.Duration `json:"PausedUntil"`
	EjectedUntil   time.Duration `json:"Ejected"` // until then; 0: not ejected
	Ejections      int           `json:"Ejections"`
	FailureScore   float64       `json:"Strikes"`
	FailureScoreAt time.Duration `json:"StrikesAt"`
}

func (m ewma) weightedMean() WeightedMean { return WeightedMean{m.value, m.weight} }

func (f WeightedMean) ewma() ewma {
	if !(f.Weight >= 0 && f.Weight <= 1e6) || !(f.Value >= 0 && f.Value <= 1e18) {
		return ewma{} // no mean of ours
	}
	return ewma{f.Value, f.Weight}
}

// Snapshot returns what the Balancer has learned.
func (b *Balancer) Snapshot() Snapshot {
	l := Snapshot{MeanLoad: b.overallLoad.weightedMean(), ConnectionCapacity: b.connectionCapacity.weightedMean()}
	for _, m := range b.classLoads {
		l.ClassLoads = append(l.ClassLoads, m.weightedMean())
	}
	for _, s := range b.sortedServers {
		limit := s.loadLimit
		if !(limit < maxLoadLimit) { // grown while no server was ready: it binds nothing
			limit = 0
		}
		l.Servers = append(l.Servers, ServerSnapshot{
			ID: s.ID, Started: s.Started,
			LoadLimit: limit, LimitLoweredAt: s.limitLoweredAt,
			PausedUntil:  s.pausedUntil,
			EjectedUntil: s.ejectedUntil, Ejections: s.ejections,
			FailureScore: s.failureScore.sum, FailureScoreAt: s.failureScore.at,
		})
	}
	return l
}

// Restore takes over what the process before has learned, of servers that run on since. What that process was
// told of drains counts as told long ago.
func (b *Balancer) Restore(now time.Duration, l Snapshot) {
	b.now = max(b.now, now)
	b.overallLoad, b.connectionCapacity = l.MeanLoad.ewma(), l.ConnectionCapacity.ewma()
	if len(l.ClassLoads) == len(b.classLoads) {
		for i, f := range l.ClassLoads {
			b.classLoads[i] = f.ewma()
		}
	}
	for _, k := range l.Servers {
		s := b.servers[k.ID]
		if s == nil || s.Started != k.Started {
			continue
		}
		if k.LoadLimit >= 0 && k.LoadLimit < maxLoadLimit {
			s.loadLimit = k.LoadLimit
		}
		// Nothing lasts longer than it would have from now on.
		s.limitLoweredAt = min(k.LimitLoweredAt, b.now)
		s.pausedUntil = min(k.PausedUntil, b.now+messageDelayTTL)
		s.ejections = max(k.Ejections, 0)
		s.ejectedUntil = min(k.EjectedUntil, b.now+baseEjectionDuration<<maxEjectionDoublings)
		s.failureScore = decayingCounter{k.FailureScore, min(k.FailureScoreAt, b.now)}
	}
	for _, s := range b.sortedServers {
		if s.State != Ready {
			s.unavailableSince = min(s.unavailableSince, b.now-b.settings.DrainGrace)
		}
	}
}
