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

// demand is a rate of requests a second, by priority.
type demand [priorities]float64

// overload is three times the capacity of these tests, at each instance.
var overload = demand{80, 70, 30}

// simulation is a fleet in front of servers with a common capacity. What is admitted beyond it is rejected, whatever its
// priority.
type simulation struct {
	rnd          *rand.Rand
	now          time.Duration
	instances    []*Shedder
	levels       []float64
	incarnations []uint64
	partitioned  map[int]bool   // instances that neither send nor receive reports
	faulty       map[int]Report // what instances report in place of the truth
	delay        time.Duration  // of reports
	inFlight     []delivery
	sequence     uint64

	// Since the last reset:
	served, requested demand
	inverted          time.Duration // in which a higher priority was rejected while a lower one was admitted
	levelChanges      int           // of the whole part
}

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

// join adds an instance that has seen nothing yet.
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

// admit returns the rates that each instance admits, and the ratio of these that the servers reject.
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

// count returns what an instance counts in an interval.
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

// servedRatio is the ratio of a priority's requests that were served since the last reset.
func (s *simulation) servedRatio(priority int) float64 {
	return s.served[priority] / s.requested[priority]
}

// Under three times the capacity the highest priority is served whole and the lowest not at all. For a few seconds at most
// a higher priority is rejected while a lower one is admitted. The same holds with one instance that fails.
func TestLowestPrioritiesAreShedFirst(t *testing.T) {
	for _, test := range []struct {
		name  string
		fail  func(s *simulation)
		slack time.Duration // beyond the second in which priorities may be inverted
	}{
		{"no failure", func(*simulation) {}, 0},
		{"partitioned", func(s *simulation) { s.partitioned[0] = true }, 0},
		{"reports that nothing is to be shed", func(s *simulation) { s.faulty[0] = Report{0, []float64{0, 0, 0}} }, 0},
		{"reports that all is to be shed", func(s *simulation) { s.faulty[0] = Report{1, []float64{0, 0, 1e12}} }, 0},
		{"reports a high lowest priority", func(s *simulation) { s.faulty[0] = Report{0.9, []float64{1e12, 0, 0}} }, 0},
		{"reports invalid figures", func(s *simulation) { s.faulty[0] = Report{math.NaN(), []float64{-1}} }, 0},
		{"reports half a second late", func(s *simulation) { s.delay = 500 * time.Millisecond }, time.Second},
		{"restarted", func(s *simulation) { s.restart(0) }, 0},
		{"another one joins", func(s *simulation) { s.join() }, time.Second},
	} {
		for _, instances := range []int{5, 20} {
			t.Run(fmt.Sprintf("%s, %d instances", test.name, instances), func(t *testing.T) {
				s := newSimulation(instances, 7)
				capacity := float64(instances) * 60
				s.run(4*time.Second, overload, capacity) // the overload begins
				test.fail(s)
				s.run(2*time.Second, overload, capacity)
				s.reset()
				s.run(20*time.Second, overload, capacity)
				if s.servedRatio(highest) < 0.97 || s.servedRatio(middle) < 0.1 || s.servedRatio(lowest) > 0.03 {
					t.Errorf("served %.2f %.2f %.2f from the lowest on, level %.2f",
						s.servedRatio(lowest), s.servedRatio(middle), s.servedRatio(highest), s.levels[0])
				}
				if s.inverted > time.Second+test.slack {
					t.Errorf("priorities inverted for %v", s.inverted)
				}
			})
		}
	}
}

// What is shed is admitted again when the load falls, the higher priority first, and the level does not flap.
func TestReopeningStartsAtHighestPriority(t *testing.T) {
	const instances = 5
	low := demand{15, 15, 15}
	s := newSimulation(instances, 3)
	s.run(10*time.Second, overload, 300)
	if s.levels[0] < 1.5 {
		t.Fatalf("level %.2f under overload", s.levels[0])
	}
	s.reset()
	s.run(60*time.Second, low, 300)
	if s.levels[0] != 0 || s.levels[4] != 0 {
		t.Errorf("levels %.2f when there is capacity for all", s.levels)
	}
	if s.levelChanges > 3*instances {
		t.Errorf("%d changes of the priority that is shed in part", s.levelChanges)
	}
	s.reset()
	s.run(10*time.Second, low, 300)
	if s.servedRatio(lowest) < 0.999 || s.inverted > 0 {
		t.Errorf("served %.3f of the lowest priority, inverted for %v", s.servedRatio(lowest), s.inverted)
	}
}

func TestSingleInstanceShedsByOwnCounts(t *testing.T) {
	s := newSimulation(1, 3)
	s.run(4*time.Second, overload, 60)
	s.reset()
	s.run(20*time.Second, overload, 60)
	if s.servedRatio(highest) < 0.97 || s.servedRatio(lowest) > 0.03 {
		t.Errorf("served %.2f %.2f %.2f from the lowest on",
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
		t.Errorf("settings %+v", got)
	}
}

// drawRates draws the request rates of 1 to 5 priorities, and their sum.
func drawRates(t *rapid.T) (rates []float64, sum float64) {
	rates = make([]float64, rapid.IntRange(1, 5).Draw(t, "priorities"))
	for i := range rates {
		rates[i] = rapid.Float64Range(0.1, 100).Draw(t, "rate")
		sum += rates[i]
	}
	return rates, sum
}

// A level sheds the ratio that it was made from, whole priorities from the lowest on.
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
			t.Fatalf("level %v sheds %v of %v, ratio %v", level, shed, sum, ratio)
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
				t.Fatalf("replaced by %+v (-want +got):\n%s", stale, diff)
			}
		}
	})
}
