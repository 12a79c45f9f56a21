package rules

import "time"

// This file is what one process of a gateway passes to the next of what it has learned. It decides nothing.

// Learned is what a Balancer knows beyond the list and its requests. Times are on the event clock, which
// both processes share.
type Learned struct {
	Servers []LearnedServer `json:"Servers"`
	Classes []Figure        `json:"Classes"` // mean loads by class, in the settings' order
	Load    Figure          `json:"Load"`    // and of all together
	Bears   Figure          `json:"Bears"`   // connections that a warm server of weight 1 bears
}

const limitMost = 1e15

// Figure is a mean and its weight.
type Figure struct {
	Value  float64 `json:"Value"`
	Weight float64 `json:"Weight"`
}

// LearnedServer is what is known of one server's process.
type LearnedServer struct {
	ID          ServerID      `json:"ID"`
	Started     time.Duration `json:"Started"` // of the process that this is known of
	Limit       float64       `json:"Limit"`   // 0: none
	CutAt       time.Duration `json:"CutAt"`
	PausedUntil time.Duration `json:"PausedUntil"`
	Ejected     time.Duration `json:"Ejected"` // until then; 0: not ejected
	Ejections   int           `json:"Ejections"`
	Strikes     float64       `json:"Strikes"`
	StrikesAt   time.Duration `json:"StrikesAt"`
}

func (m mean) figure() Figure { return Figure{m.value, m.weight} }

func (f Figure) mean() mean {
	if !(f.Weight >= 0 && f.Weight <= 1e6) || !(f.Value >= 0 && f.Value <= 1e18) {
		return mean{} // no mean of ours
	}
	return mean{f.Value, f.Weight}
}

// Learned returns what the Balancer has learned.
func (b *Balancer) Learned() Learned {
	l := Learned{Load: b.anyLoad.figure(), Bears: b.bears.figure()}
	for _, m := range b.loads {
		l.Classes = append(l.Classes, m.figure())
	}
	for _, s := range b.order {
		limit := s.limit
		if !(limit < limitMost) { // grown while no server was ready: it binds nothing
			limit = 0
		}
		l.Servers = append(l.Servers, LearnedServer{
			ID: s.ID, Started: s.Started,
			Limit: limit, CutAt: s.cutAt,
			PausedUntil: s.pausedUntil,
			Ejected:     s.ejected, Ejections: s.ejections,
			Strikes: s.strikes.sum, StrikesAt: s.strikes.at,
		})
	}
	return l
}

// Learn takes over what the process before has learned, of servers that run on since. What that process was
// told of drains counts as told long ago.
func (b *Balancer) Learn(now time.Duration, l Learned) {
	b.now = max(b.now, now)
	b.anyLoad, b.bears = l.Load.mean(), l.Bears.mean()
	if len(l.Classes) == len(b.loads) {
		for i, f := range l.Classes {
			b.loads[i] = f.mean()
		}
	}
	for _, k := range l.Servers {
		s := b.servers[k.ID]
		if s == nil || s.Started != k.Started {
			continue
		}
		if k.Limit >= 0 && k.Limit < limitMost {
			s.limit = k.Limit
		}
		// Nothing lasts longer than it would have from now on.
		s.cutAt = min(k.CutAt, b.now)
		s.pausedUntil = min(k.PausedUntil, b.now+delayFor)
		s.ejections = max(k.Ejections, 0)
		s.ejected = min(k.Ejected, b.now+ejectFor<<ejectDoubled)
		s.strikes = fading{k.Strikes, min(k.StrikesAt, b.now)}
	}
	for _, s := range b.order {
		if s.State != Ready {
			s.told = min(s.told, b.now-b.set.DrainGrace)
		}
	}
}
