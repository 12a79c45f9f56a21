package loadshed

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

const (
	priorities = 3
	lowest     = 0
	middle     = 1
	highest    = 2
)

// demand holds the rate of requests of each priority, in requests per second.
type demand [priorities]float64

// overload is a demand at each instance of three times the capacity that the tests have for each instance.
var overload = demand{80, 70, 30}

// simulation is a fleet in front of servers with a common capacity. Admitted requests that exceed this capacity are
// rejected, whatever their priority.
type simulation struct {
	rnd          *rand.Rand
	now          time.Duration
	instances    []*Shedder
	levels       []float64 // the latest shed level of each instance
	incarnations []uint64
	partitioned  map[int]bool   // instances that neither send nor receive reports
	faulty       map[int]Report // reports that faulty instances send in place of their own
	delay        time.Duration  // time that a report needs to arrive
	inFlight     []delivery
	sequence     uint64

	// These count since the last reset.
	served, requested demand
	inverted          time.Duration // how long a higher priority was rejected while a lower one was admitted
	levelChanges      int           // changes of the integer part of any instance's level
}

// delivery is a report on its way to an instance.
type delivery struct {
	at     time.Duration
	to     int
	report PeerReport
}

func newSimulation(instances int, seed uint64) *simulation {
	s := &simulation{
		rnd:         rand.New(rand.NewPCG(seed, 1)),
		partitioned: map[int]bool{},
		faulty:      map[int]Report{},
		delay:       50 * time.Millisecond,
	}
	for range instances {
		s.join()
	}
	return s
}

// join adds an instance that has seen no load and no reports yet.
func (s *simulation) join() {
	s.instances = append(s.instances, New(Settings{Priorities: priorities}))
	s.levels = append(s.levels, 0)
	s.incarnations = append(s.incarnations, 1)
}

func (s *simulation) restart(i int) {
	s.instances[i], s.levels[i] = New(Settings{Priorities: priorities}), 0
	s.incarnations[i]++
}

func (s *simulation) run(d time.Duration, perInstance demand, capacity float64) {
	for range d / ReportInterval {
		s.step(perInstance, capacity)
	}
}

func (s *simulation) step(perInstance demand, capacity float64) {
	s.now += ReportInterval
	admitted, rejectedRatio := s.admit(perInstance, capacity)
	s.deliver()
	for i, instance := range s.instances {
		decision := instance.Update(s.now, s.count(perInstance, admitted[i], rejectedRatio))
		if math.Floor(s.levels[i]) != math.Floor(decision.Level) {
			s.levelChanges++
		}
		s.levels[i] = decision.Level
		report := decision.Report
		if wrong, ok := s.faulty[i]; ok {
			report = wrong
		}
		s.broadcast(i, report)
	}
}

// admit returns the rates that each instance admits, and the ratio of the admitted requests that the servers reject.
func (s *simulation) admit(perInstance demand, capacity float64) (admitted []demand, rejectedRatio float64) {
	admitted = make([]demand, len(s.instances))
	sum, lowestAdmitted := 0.0, priorities
	for i := range s.instances {
		for k := range priorities {
			shed := min(max(s.levels[i]-float64(k), 0), 1)
			admitted[i][k] = perInstance[k] * (1 - shed)
			sum += admitted[i][k]
			if shed < 1 && k < lowestAdmitted {
				lowestAdmitted = k
			}
		}
	}
	rejectedRatio = max(1-capacity/max(sum, 1e-9), 0)
	if rejectedRatio > 0.06 && lowestAdmitted < highest {
		s.inverted += ReportInterval
	}
	return admitted, rejectedRatio
}

// count returns the counts of one instance in a ReportInterval.
func (s *simulation) count(requested, admitted demand, rejectedRatio float64) LocalCounts {
	var c LocalCounts
	interval := ReportInterval.Seconds()
	for k := range priorities {
		jitter := 0.9 + 0.2*s.rnd.Float64()
		c.Requests = append(c.Requests, uint64(math.Round(requested[k]*jitter*interval)))
		c.Shed = append(c.Shed, uint64(math.Round((requested[k]-admitted[k])*jitter*interval)))
		c.Rejected = append(c.Rejected, uint64(math.Round(admitted[k]*rejectedRatio*jitter*interval)))
		s.requested[k] += requested[k] * interval
		s.served[k] += admitted[k] * (1 - rejectedRatio) * interval
	}
	return c
}

func (s *simulation) broadcast(from int, report Report) {
	s.sequence++
	for to := range s.instances {
		if to == from || s.partitioned[from] || s.partitioned[to] {
			continue
		}
		name := string(rune('a' + from))
		s.inFlight = append(s.inFlight, delivery{
			s.now + s.delay, to, PeerReport{name, s.incarnations[from], s.sequence, report},
		})
	}
}

func (s *simulation) deliver() {
	for len(s.inFlight) > 0 && s.inFlight[0].at <= s.now {
		d := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.instances[d.to].Receive(s.now, d.report)
	}
}

func (s *simulation) reset() {
	s.served, s.requested, s.inverted, s.levelChanges = demand{}, demand{}, 0, 0
}

// servedRatio returns the ratio of a priority's requests that were served since the last reset.
func (s *simulation) servedRatio(priority int) float64 {
	return s.served[priority] / s.requested[priority]
}

// Under a load of three times the capacity, nearly all requests of the highest priority and almost none of the lowest are
// served. The test begins to count after six seconds of overload. From then on, a higher priority is rejected while a lower one
// is admitted for at most one second in total, or two seconds in some cases. The same holds if one instance fails.
func TestLowestPrioritiesAreShedFirst(t *testing.T) {
	for _, test := range []struct {
		name           string
		fail           func(s *simulation)
		inversionSlack time.Duration // added to the one second for which priorities may be inverted
	}{
		{"no failure", func(*simulation) {}, 0},
		{"instance partitioned", func(s *simulation) { s.partitioned[0] = true }, 0},
		{"report with a shed ratio of 0", func(s *simulation) { s.faulty[0] = Report{0, []float64{0, 0, 0}} }, 0},
		{"report with a shed ratio of 1", func(s *simulation) { s.faulty[0] = Report{1, []float64{0, 0, 1e12}} }, 0},
		{"report with a high rate of priority 0", func(s *simulation) { s.faulty[0] = Report{0.9, []float64{1e12, 0, 0}} }, 0},
		{"report with invalid figures", func(s *simulation) { s.faulty[0] = Report{math.NaN(), []float64{-1}} }, 0},
		{"reports half a second late", func(s *simulation) { s.delay = 500 * time.Millisecond }, time.Second},
		{"instance restarted", func(s *simulation) { s.restart(0) }, 0},
		{"instance added", func(s *simulation) { s.join() }, time.Second},
	} {
		for _, instances := range []int{5, 20} {
			t.Run(fmt.Sprintf("%s, %d instances", test.name, instances), func(t *testing.T) {
				s := newSimulation(instances, 7)
				capacity := float64(instances) * 60
				s.run(4*time.Second, overload, capacity) // not counted: the shed ratio is still growing
				test.fail(s)
				s.run(2*time.Second, overload, capacity)
				s.reset()
				s.run(20*time.Second, overload, capacity)
				if s.servedRatio(highest) < 0.97 || s.servedRatio(middle) < 0.1 || s.servedRatio(lowest) > 0.03 {
					t.Errorf("got served ratios %.2f, %.2f, %.2f from the lowest priority on at level %.2f, "+
						"want at most 0.03, at least 0.1, at least 0.97",
						s.servedRatio(lowest), s.servedRatio(middle), s.servedRatio(highest), s.levels[0])
				}
				if s.inverted > time.Second+test.inversionSlack {
					t.Errorf("priorities were inverted for %v, want at most %v", s.inverted, time.Second+test.inversionSlack)
				}
			})
		}
	}
}

// When the load falls, shed requests are admitted again, those of the higher priority first, and the level does not flap.
func TestReadmissionStartsAtHighestPriority(t *testing.T) {
	const instances = 5
	low := demand{15, 15, 15}
	s := newSimulation(instances, 3)
	s.run(10*time.Second, overload, 300)
	if s.levels[0] < 1.5 {
		t.Fatalf("got level %.2f under overload, want at least 1.5", s.levels[0])
	}
	s.reset()
	s.run(60*time.Second, low, 300)
	if s.levels[0] != 0 || s.levels[4] != 0 {
		t.Errorf("got levels %.2f with capacity for all requests, want 0", s.levels)
	}
	if s.levelChanges > 3*instances {
		t.Errorf("got %d changes of the priority that is shed in part, want at most %d", s.levelChanges, 3*instances)
	}
	s.reset()
	s.run(10*time.Second, low, 300)
	if s.servedRatio(lowest) < 0.999 || s.inverted > 0 {
		t.Errorf("got a served ratio of %.3f of the lowest priority, priorities inverted for %v, want at least 0.999 and 0s",
			s.servedRatio(lowest), s.inverted)
	}
}

func TestSingleInstanceShedsByOwnCounts(t *testing.T) {
	s := newSimulation(1, 3)
	s.run(4*time.Second, overload, 60)
	s.reset()
	s.run(20*time.Second, overload, 60)
	if s.servedRatio(highest) < 0.97 || s.servedRatio(lowest) > 0.03 {
		t.Errorf("got served ratios %.2f, %.2f, %.2f from the lowest priority on, want at most 0.03, any, at least 0.97",
			s.servedRatio(lowest), s.servedRatio(middle), s.servedRatio(highest))
	}
}

func TestMinAdmittedRatio(t *testing.T) {
	settings := Settings{Priorities: 2, MinAdmittedRatio: 0.1}
	for _, test := range []struct{ ratio, want, tolerance float64 }{{0.4, 0.8, 1e-9}, {0.9, 1.8, 0}} {
		t.Run(fmt.Sprint(test.ratio), func(t *testing.T) {
			got := settings.level(test.ratio, []Report{{test.ratio, []float64{10, 10}}})
			if diff := cmp.Diff(test.want, got, cmpopts.EquateApprox(0, test.tolerance)); diff != "" {
				t.Errorf("level (-want +got):\n%s", diff)
			}
		})
	}
	if got := New(settings).settings; got != settings {
		t.Errorf("got settings %+v, want %+v", got, settings)
	}
}

// drawRates returns random request rates of 1 to 5 priorities, and their sum.
func drawRates(t *rapid.T) (rates []float64, sum float64) {
	rates = make([]float64, rapid.IntRange(1, 5).Draw(t, "priorities"))
	for i := range rates {
		rates[i] = rapid.Float64Range(0.1, 100).Draw(t, "rate")
		sum += rates[i]
	}
	return rates, sum
}

// A level sheds the ratio of requests from which it was computed, beginning with the lowest priority.
func TestLevelMatchesShedRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, sum := drawRates(t)
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		level := Settings{Priorities: len(rates)}.level(ratio, []Report{{ratio, rates}})
		shed := 0.0
		for k, rate := range rates {
			shed += rate * min(max(level-float64(k), 0), 1)
		}
		if math.Abs(shed-ratio*sum) > 1e-6*sum {
			t.Fatalf("level %v sheds a rate of %v out of %v, want the ratio %v of it", level, shed, sum, ratio)
		}
	})
}

func TestStaleReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, _ := drawRates(t)
		s := New(Settings{Priorities: len(rates)})
		latest := PeerReport{"p", 5, 9, Report{0.5, rates}}
		s.Receive(0, latest)
		for _, stale := range []PeerReport{
			{"p", 4, 99, Report{1, rates}}, {"p", 5, 8, Report{1, rates}}, {"p", 5, 9, Report{1, rates}},
		} {
			s.Receive(0, stale)
			if diff := cmp.Diff(latest, s.peers["p"].PeerReport); diff != "" {
				t.Fatalf("stale report %+v replaced the latest one (-want +got):\n%s", stale, diff)
			}
		}
	})
}
