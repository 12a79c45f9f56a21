package balancer

import "time"

// Snapshot holds what a Balancer has learned apart from the endpoint list and its requests. The Balancer of
// the next process restores it. Times are on the event clock, which both processes share.
type Snapshot struct {
	Servers            []ServerSnapshot `json:"Servers"`
	ClassLoads         []WeightedMean   `json:"Classes"` // mean loads by class, in the order of the settings
	MeanLoad           WeightedMean     `json:"Load"`    // mean load of all classes together
	ConnectionCapacity WeightedMean     `json:"Bears"`   // connections that a warm server of capacity 1 holds
}

// WeightedMean is a mean value with its weight, the number of samples.
type WeightedMean struct {
	Value  float64 `json:"Value"`
	Weight float64 `json:"Weight"`
}

// ServerSnapshot holds what a Balancer has learned of one process of a server.
type ServerSnapshot struct {
	ID             ServerID      `json:"ID"`
	Started        time.Duration `json:"Started"` // when that process started
	LoadLimit      float64       `json:"Limit"`   // 0: no limit
	LimitLoweredAt time.Duration `json:"CutAt"`
	PausedUntil    time.Duration `json:"PausedUntil"`
	EjectedUntil   time.Duration `json:"Ejected"` // 0: not ejected
	Ejections      int           `json:"Ejections"`
	FailureScore   float64       `json:"Strikes"`
	FailureScoreAt time.Duration `json:"StrikesAt"`
}

const (
	// maxLoadLimit bounds the load limits in a snapshot. A higher limit has grown while no server was ready
	// and has no effect.
	maxLoadLimit = 1e15

	// maxMeanValue and maxMeanWeight bound the means that are restored. Values outside these bounds cannot
	// come from a Balancer.
	maxMeanValue  = 1e18
	maxMeanWeight = 1e6
)

// Snapshot returns what the Balancer has learned.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{
		MeanLoad:           b.overallMeanLoad.snapshot(),
		ConnectionCapacity: b.connectionCapacity.snapshot(),
	}
	for _, mean := range b.classMeanLoads {
		snapshot.ClassLoads = append(snapshot.ClassLoads, mean.snapshot())
	}
	for _, s := range b.sortedServers {
		snapshot.Servers = append(snapshot.Servers, s.snapshot())
	}
	return snapshot
}

// Restore adopts what the Balancer of an earlier process has learned of the server processes that still run.
// It skips servers that are not in the endpoint list. Servers that drain or are removed count as if they had
// done so for at least the DrainGrace.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	b.now = max(b.now, now)
	b.overallMeanLoad = snapshot.MeanLoad.restore()
	b.connectionCapacity = snapshot.ConnectionCapacity.restore()
	if len(snapshot.ClassLoads) == len(b.classMeanLoads) {
		for i, mean := range snapshot.ClassLoads {
			b.classMeanLoads[i] = mean.restore()
		}
	}
	for _, saved := range snapshot.Servers {
		if s := b.servers[saved.ID]; s != nil && s.Started == saved.Started {
			s.restore(b.now, saved)
		}
	}
	for _, s := range b.sortedServers {
		if s.State != Ready {
			s.unavailableSince = min(s.unavailableSince, b.now-b.settings.DrainGrace)
		}
	}
}

func (s *server) snapshot() ServerSnapshot {
	limit := s.loadLimit
	if !(limit < maxLoadLimit) {
		limit = 0
	}
	return ServerSnapshot{
		ID:             s.ID,
		Started:        s.Started,
		LoadLimit:      limit,
		LimitLoweredAt: s.limitLoweredAt,
		PausedUntil:    s.pausedUntil,
		EjectedUntil:   s.ejectedUntil,
		Ejections:      s.ejections,
		FailureScore:   s.failureScore.sum,
		FailureScoreAt: s.failureScore.at,
	}
}

// restore adopts a snapshot of the same server process. A pause or an ejection that it restores ends no later
// than one that starts now.
func (s *server) restore(now time.Duration, saved ServerSnapshot) {
	if saved.LoadLimit >= 0 && saved.LoadLimit < maxLoadLimit {
		s.loadLimit = saved.LoadLimit
	}
	s.limitLoweredAt = min(saved.LimitLoweredAt, now)
	s.pausedUntil = min(saved.PausedUntil, now+messageDelayTTL)
	s.ejections = max(saved.Ejections, 0)
	s.ejectedUntil = min(saved.EjectedUntil, now+baseEjectionDuration<<maxEjectionDoublings)
	s.failureScore = decayingCounter{saved.FailureScore, min(saved.FailureScoreAt, now)}
}

func (e *ewma) snapshot() WeightedMean { return WeightedMean{e.value, e.weight} }

func (m WeightedMean) restore() ewma {
	if !(m.Weight >= 0 && m.Weight <= maxMeanWeight) || !(m.Value >= 0 && m.Value <= maxMeanValue) {
		return ewma{}
	}
	return ewma{m.Value, m.Weight}
}
