package loadshed

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "5")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// world is a fleet in front of nodes that bear so much: who is let in beyond that is refused for want of room, whatever its
// tier.
type world struct {
	all   []*Shedder
	level []float64
	lives []uint64
	cut   map[int]bool // instances that nobody hears and who hear nobody
	lies  map[int]Report
	rnd   *rand.Rand
	late  time.Duration // of digests
	now   time.Duration
	queue []sent
	n     uint64

	served, asked [3]float64
	inverted      time.Duration // in which a higher tier was refused for want of room while a lower one was let in
	flaps         int           // changes of the level's whole part
}

type sent struct {
	at   time.Duration
	to   int
	told PeerReport
}

func newWorld(n int, seed uint64) *world {
	w := &world{cut: map[int]bool{}, lies: map[int]Report{}, rnd: rand.New(rand.NewPCG(seed, 1)), late: 50 * time.Millisecond}
	for range n {
		w.all, w.level, w.lives = append(w.all, New(Settings{Priorities: 3})), append(w.level, 0), append(w.lives, 1)
	}
	return w
}

// step is a tick in which each instance is asked for so much of each rank, and nodes bear a sum.
func (w *world) step(ask [3]float64, bears float64) {
	w.now += ReportInterval
	letIn, by := 0.0, make([][3]float64, len(w.all))
	lowest := 3
	for i := range w.all {
		for k := range 3 {
			part := min(max(w.level[i]-float64(k), 0), 1)
			by[i][k] = ask[k] * (1 - part)
			letIn += by[i][k]
			if part < 1 && k < lowest {
				lowest = k
			}
		}
	}
	refused := max(1-bears/max(letIn, 1e-9), 0)
	if refused > 0.06 && lowest < 2 {
		w.inverted += ReportInterval
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		s := w.queue[0]
		w.queue = w.queue[1:]
		w.all[s.to].Handle(w.now, s.told)
	}
	for i, t := range w.all {
		var o LocalCounts
		for k := range 3 {
			jitter := 0.9 + 0.2*w.rnd.Float64()
			o.Requests = append(o.Requests, uint64(math.Round(ask[k]*jitter*ReportInterval.Seconds())))
			o.Shed = append(o.Shed, uint64(math.Round((ask[k]-by[i][k])*jitter*ReportInterval.Seconds())))
			o.Rejected = append(o.Rejected, uint64(math.Round(by[i][k]*refused*jitter*ReportInterval.Seconds())))
			w.asked[k] += ask[k] * ReportInterval.Seconds()
			w.served[k] += by[i][k] * (1 - refused) * ReportInterval.Seconds()
		}
		was := w.level[i]
		d, level := t.Handle(w.now, o)
		if w.level[i] = level; math.Floor(was) != math.Floor(level) {
			w.flaps++
		}
		if lie, lying := w.lies[i]; lying {
			d = lie
		}
		w.n++
		for to := range w.all {
			if to != i && !w.cut[i] && !w.cut[to] {
				w.queue = append(w.queue, sent{w.now + w.late, to, PeerReport{string(rune('a' + i)), w.lives[i], w.n, d}})
			}
		}
	}
}

func (w *world) run(d time.Duration, ask [3]float64, bears float64) {
	for range d / ReportInterval {
		w.step(ask, bears)
	}
}

// part is how much of a rank was served since the last reset.
func (w *world) reset()             { w.served, w.asked, w.inverted, w.flaps = [3]float64{}, [3]float64{}, 0, 0 }
func (w *world) part(k int) float64 { return w.served[k] / w.asked[k] }

var load = [3]float64{80, 70, 30} // of each rank, a second, at each instance: three times what nodes bear

// At three times what nodes bear the highest tier is served whole, and the lowest not at all, with few seconds in which a
// higher one was refused while a lower one was let in; the same with one instance cut off, lying, restarted, or digests late.
func TestLowestTiersAreShedFirst(t *testing.T) {
	slack := map[string]time.Duration{ // what these troubles cost beyond the second
		"digests half a second late": time.Second, "an instance joins with nothing held": time.Second,
	}
	for name, trouble := range map[string]func(w *world){
		"none":                              func(*world) {},
		"cut off":                           func(w *world) { w.cut[0] = true },
		"claims that nothing is to be shed": func(w *world) { w.lies[0] = Report{0, []float64{0, 0, 0}} },
		"claims that all is to be shed":     func(w *world) { w.lies[0] = Report{1, []float64{0, 0, 1e12}} },
		"claims to be asked for the lowest": func(w *world) { w.lies[0] = Report{0.9, []float64{1e12, 0, 0}} },
		"tells what is none":                func(w *world) { w.lies[0] = Report{math.NaN(), []float64{-1}} },
		"digests half a second late":        func(w *world) { w.late = 500 * time.Millisecond },
		"starts anew":                       func(w *world) { w.all[0], w.lives[0], w.level[0] = New(Settings{Priorities: 3}), 2, 0 },
		"an instance joins with nothing held": func(w *world) {
			w.all, w.level, w.lives = append(w.all, New(Settings{Priorities: 3})), append(w.level, 0), append(w.lives, 1)
		},
	} {
		for _, n := range []int{5, 20} {
			w := newWorld(n, 7)
			bears := float64(n) * 60
			w.run(4*time.Second, load, bears) // the overload begins
			trouble(w)
			w.run(2*time.Second, load, bears)
			w.reset()
			w.run(20*time.Second, load, bears)
			if w.part(2) < 0.97 || w.part(1) < 0.1 || w.part(0) > 0.03 || w.inverted > time.Second+slack[name] {
				t.Errorf("%s, %d instances: served %.2f %.2f %.2f from the lowest on, inverted %v, level %.2f", name, n, w.part(0), w.part(1), w.part(2), w.inverted, w.level)
			}
		}
	}
}

// What is shed is let in again when the load falls, the higher tier first, and does not flap.
func TestTiersOpenAgainFromTheHighestDown(t *testing.T) {
	w := newWorld(5, 3)
	w.run(10*time.Second, load, 300)
	if w.level[0] < 1.5 {
		t.Fatalf("level %.2f under overload", w.level[0])
	}
	w.reset()
	w.run(60*time.Second, [3]float64{15, 15, 15}, 300)
	if w.level[0] != 0 || w.level[4] != 0 {
		t.Errorf("levels %.2f when there is room for all", w.level)
	}
	if w.flaps > 3*5 {
		t.Errorf("%d changes of the tier at the cut", w.flaps)
	}
	w.reset()
	w.run(10*time.Second, [3]float64{15, 15, 15}, 300)
	if w.part(0) < 0.999 || w.inverted > 0 {
		t.Errorf("served %.3f of the lowest, inverted %v", w.part(0), w.inverted)
	}
}

// Alone an instance sheds by its own view.
func TestAloneByItsOwnView(t *testing.T) {
	w := newWorld(1, 3)
	w.run(4*time.Second, load, 60)
	w.reset()
	w.run(20*time.Second, load, 60)
	if w.part(2) < 0.97 || w.part(0) > 0.03 {
		t.Errorf("served %.2f %.2f %.2f from the lowest on", w.part(0), w.part(1), w.part(2))
	}
}

func TestAFloorIsKept(t *testing.T) {
	x := New(Settings{Priorities: 2, MinAdmittedRatio: 0.1})
	if got := x.level(0.4, []Report{{0.4, []float64{10, 10}}}); math.Abs(got-0.8) > 1e-9 {
		t.Errorf("cuts at %v", got)
	}
	if got := x.level(0.9, []Report{{0.9, []float64{10, 10}}}); got != 1.8 {
		t.Errorf("cuts at %v", got)
	}
	if x.set.MinAdmittedRatio != 0.1 {
		t.Error("no floor")
	}
}

// The level is that of the share: under it whole tiers go, lowest first; an earlier life and an old number change nothing.
func TestLevelAndLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 5).Draw(t, "ranks")
		x := New(Settings{Priorities: ranks})
		asked, sum := make([]float64, ranks), 0.0
		for i := range asked {
			asked[i] = rapid.Float64Range(0.1, 100).Draw(t, "asked")
			sum += asked[i]
		}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		level := x.level(share, []Report{{share, asked}})
		shed := 0.0
		for k, a := range asked {
			shed += a * min(max(level-float64(k), 0), 1)
		}
		if math.Abs(shed-share*sum) > 1e-6*sum {
			t.Fatalf("level %v sheds %v of %v, share %v", level, shed, sum, share)
		}
		good := PeerReport{"p", 5, 9, Report{0.5, asked}}
		x.Handle(0, good)
		for _, old := range []PeerReport{{"p", 4, 99, Report{1, asked}}, {"p", 5, 8, Report{1, asked}}, {"p", 5, 9, Report{1, asked}}} {
			if x.Handle(0, old); x.peers["p"].Report.ShedRatio != 0.5 {
				t.Fatalf("went by %+v", old)
			}
		}
	})
}
