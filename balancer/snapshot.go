package balancer

import "time"

// Snapshot is what a Balancer has learned beyond the list and its requests, to be restored by the one of the
// next process. Times are on the event clock, which both processes share.
type Snapshot struct {
	Servers            []ServerSnapshot `json:"Servers"`
	ClassLoads         []WeightedMean   `json:"Classes"` // mean loads by class, in the settings' order
	MeanLoad           WeightedMean     `json:"Load"`    // and of all classes together
	ConnectionCapacity WeightedMean     `json:"Bears"`   // of a warm server of weight 1
}

// WeightedMean is a mean and its weight, in samples.
type WeightedMean struct {
	Value  float64 `json:"Value"`
	Weight float64 `json:"Weight"`
}

// ServerSnapshot is what a Balancer has learned of one server's process.
type ServerSnapshot struct {
	ID             ServerID      `json:"ID"`
	Started        time.Duration `json:"Started"` // start of that process
	LoadLimit      float64       `json:"Limit"`   // 0: none
	LimitLoweredAt time.Duration `json:"CutAt"`
	PausedUntil    time.Duration `json:"PausedUntil"`
	EjectedUntil   time.Duration `json:"Ejected"` // 0: not ejected
	Ejections      int           `json:"Ejections"`
	FailureScore   float64       `json:"Strikes"`
	FailureScoreAt time.Duration `json:"StrikesAt"`
}

const (
	// maxLoadLimit bounds the load limits of a snapshot. One above it has grown while no server was ready and
	// binds nothing.
	maxLoadLimit = 1e15

	// maxMeanValue and maxMeanWeight bound the means that are restored. Others are none that a Balancer
	// recorded.
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

// Restore takes over what the Balancer of an earlier process has learned, of servers that run since. Servers
// that were draining or removed by then count as such for long.
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

// restore takes over what was learned of the same process. Nothing lasts longer than if it had begun now.
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
