package loadshed_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/golden"
)

const (
	fleetSeeds = 240 // each with one to seven instances for less than half a minute
	longSeeds  = 20  // each with one to three instances for five minutes, which covers readmission in growing steps
	shortTicks = 120 // number of ReportIntervals
	longTicks  = 1500

	epoch = 1_700_000_000 * time.Second
)

// Compares the reports and levels of all instances under generated loads with the digests in testdata, to the last bit of
// each figure.
func TestFleetLevelDigests(t *testing.T) {
	checkDigests(t, "fleets.txt", fleetSeeds, func(seed uint64, out *transcript) {
		newFleet(seed, 1, 1+int(seed%7)).run(shortTicks, out)
	})
}

// Compares reports and levels in the same way over five minutes.
func TestLongRunLevelDigests(t *testing.T) {
	checkDigests(t, "minutes.txt", longSeeds, func(seed uint64, out *transcript) {
		f := newFleet(seed, 2, 1+int(seed%3))
		if seed%2 == 0 {
			f.steady = true
			f.capacity = f.totalLoad() / 2
		}
		f.run(longTicks, out)
	})
}

// checkDigests compares the digest of each seed's output with the seed's line of a file in testdata.
func checkDigests(t *testing.T, file string, seeds uint64, draw func(seed uint64, out *transcript)) {
	t.Helper()
	var lines []string
	shedding := 0
	for seed := range seeds {
		out := &transcript{sum: sha256.New()}
		draw(seed, out)
		shedding += out.shedding
		lines = append(lines, fmt.Sprintf("%d %s", seed, out.digest()))
	}
	if shedding < 100*int(seeds) {
		t.Errorf("got %d levels above 0 from %d seeds, want at least 100 per seed: the loads are too small", shedding, seeds)
	}
	golden.CheckLines(t, file, lines)
}

// transcript hashes the output of one seed. Its binary encoding does not depend on the names of types or fields.
type transcript struct {
	sum      hash.Hash
	buf      []byte
	shedding int // number of levels above 0
}

func (o *transcript) digest() string { return hex.EncodeToString(o.sum.Sum(nil)[:8]) }

func (o *transcript) level(now time.Duration, instance int, report loadshed.Report, level float64) {
	b := binary.BigEndian.AppendUint64(o.buf[:0], uint64(now))
	b = binary.BigEndian.AppendUint64(b, uint64(instance))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(level))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(report.ShedRatio))
	b = binary.BigEndian.AppendUint64(b, uint64(len(report.RequestRates)))
	for _, a := range report.RequestRates {
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(a))
	}
	o.sum.Write(b)
	o.buf = b
	if level > 0 {
		o.shedding++
	}
}

// message is a report on its way to an instance.
type message struct {
	at     time.Duration
	to     int
	report loadshed.PeerReport
}

// fleet is a group of instances in front of servers with a common capacity.
type fleet struct {
	*rand.Rand
	settings     loadshed.Settings
	instances    []*loadshed.Shedder
	levels       []float64
	incarnations []uint64
	sequence     uint64
	now          time.Duration
	load         []float64 // requests per second of each priority, at each instance
	capacity     float64   // requests per second of all instances together
	queue        []message
	steady       bool // the load does not change, and no instance restarts
	exact        bool // intervals and delays are multiples of ReportInterval, so that time bounds are met to the nanosecond
	faulty       bool // the first instance reports wrong figures
}

func newFleet(seed, stream uint64, n int) *fleet {
	f := &fleet{Rand: rand.New(rand.NewPCG(seed, stream)), now: epoch}
	f.settings = loadshed.Settings{Priorities: 1 + f.IntN(5)}
	if f.IntN(2) == 0 {
		f.settings.MinAdmittedRatio = f.Float64() / 4
	}
	f.exact, f.faulty = f.IntN(2) == 0, n > 2 && f.IntN(3) == 0
	for range n {
		f.instances, f.levels, f.incarnations = append(f.instances, loadshed.New(f.settings)),
			append(f.levels, 0), append(f.incarnations, 1)
	}
	f.drawLoad()
	return f
}

// drawLoad sets a random load and a random capacity of the servers, from 0.01 of the load to four times the load.
func (f *fleet) drawLoad() {
	f.load = make([]float64, f.settings.Priorities)
	for k := range f.load {
		if f.IntN(6) > 0 {
			f.load[k] = f.Float64() * 100
		}
	}
	f.capacity = f.totalLoad() * []float64{4, 1.2, 1.04, 1, 0.95, 0.7, 0.5, 0.25, 0.01}[f.IntN(9)]
}

// totalLoad returns the load of all instances together, in requests per second.
func (f *fleet) totalLoad() (sum float64) {
	for _, load := range f.load {
		sum += load * float64(len(f.instances))
	}
	return sum
}

func (f *fleet) run(ticks int, out *transcript) {
	for tick := range ticks {
		if f.IntN(60) == 0 && !f.steady {
			f.drawLoad()
		}
		if f.IntN(200) == 0 && !f.steady {
			f.restart(f.IntN(len(f.instances)))
		}
		f.now += loadshed.ReportInterval
		if !f.exact {
			f.now += time.Duration(f.IntN(40)-20) * time.Millisecond
		}
		f.deliver()
		rejected := f.rejectedRatio()
		for i := range f.instances {
			if f.IntN(150) == 0 {
				continue // the instance skips an update
			}
			f.tick(i, rejected, out)
		}
		if tick%50 == 49 {
			f.inject()
		}
	}
}

// restart replaces an instance by its next incarnation.
func (f *fleet) restart(i int) {
	f.instances[i], f.levels[i] = loadshed.New(f.settings), 0
	f.incarnations[i]++
}

// rejectedRatio returns the ratio of the requests admitted by all instances that the servers reject.
func (f *fleet) rejectedRatio() float64 {
	admitted := 0.0
	for i := range f.instances {
		for k, load := range f.load {
			admitted += load * (1 - f.shedRatio(i, k))
		}
	}
	return max(1-f.capacity/max(admitted, 1e-9), 0)
}

// shedRatio returns the ratio of the requests of priority k that instance i sheds.
func (f *fleet) shedRatio(i, k int) float64 { return min(max(f.levels[i]-float64(k), 0), 1) }

func (f *fleet) tick(i int, rejected float64, out *transcript) {
	var counts loadshed.LocalCounts
	for k, load := range f.load {
		requests := load * loadshed.ReportInterval.Seconds() * (0.8 + 0.4*f.Float64())
		counts.Requests = append(counts.Requests, uint64(math.Round(requests)))
		counts.Shed = append(counts.Shed, uint64(requests*f.shedRatio(i, k)))
		counts.Rejected = append(counts.Rejected, uint64(requests*(1-f.shedRatio(i, k))*rejected))
	}
	decision := f.instances[i].Update(f.now, counts)
	report, level := decision.Report, decision.Level
	out.level(f.now, i, report, level)
	f.levels[i] = level
	if f.faulty && i == 0 {
		report = f.faultyReport()
	}
	f.sequence++
	for to := range f.instances {
		if to != i && f.IntN(20) > 0 {
			f.send(to, loadshed.PeerReport{Peer: peerName(i), Incarnation: f.incarnations[i], Sequence: f.sequence, Report: report})
		}
	}
}

func peerName(i int) string { return "p" + strconv.Itoa(i) }

// send queues a report for delivery. Some reports arrive late, twice, or after a later one.
func (f *fleet) send(to int, report loadshed.PeerReport) {
	copies := 1
	if f.IntN(30) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(f.IntN(7)) * loadshed.ReportInterval
		if !f.exact {
			delay = time.Duration(f.IntN(300)) * time.Millisecond
		}
		f.queue = append(f.queue, message{f.now + delay, to, report})
	}
}

func (f *fleet) deliver() {
	var later []message
	for _, m := range f.queue {
		if m.at > f.now {
			later = append(later, m)
			continue
		}
		f.instances[m.to].Receive(f.now, m.report)
	}
	f.queue = later
}

// faultyReport returns a report with wrong or invalid figures.
func (f *fleet) faultyReport() loadshed.Report {
	d := loadshed.Report{ShedRatio: f.Float64()}
	for range f.settings.Priorities {
		d.RequestRates = append(d.RequestRates, f.Float64()*1e6)
	}
	switch f.IntN(12) {
	case 0:
		d.ShedRatio = math.NaN()
	case 1:
		d.ShedRatio = -1e-9
	case 2:
		d.ShedRatio = math.Nextafter(1, 2)
	case 3:
		d.ShedRatio = 1
	case 4:
		d.ShedRatio = 0
	case 5:
		d.RequestRates[0] = math.NaN()
	case 6:
		d.RequestRates[0] = math.Inf(1)
	case 7:
		d.RequestRates[0] = -1
	case 8:
		d.RequestRates = append(d.RequestRates, 1)
	case 9:
		d.RequestRates = nil
	}
	return d
}

// inject sends a faulty report to an instance, mostly with an earlier incarnation of the peer or an earlier sequence number.
func (f *fleet) inject() {
	to, from := f.IntN(len(f.instances)), f.IntN(len(f.instances))
	incarnation, sequence := f.incarnations[from], f.sequence
	switch f.IntN(4) {
	case 0:
		incarnation--
	case 1:
		sequence = uint64(f.IntN(int(f.sequence) + 1))
	case 2:
		sequence -= min(sequence, uint64(len(f.instances)))
	}
	f.send(to, loadshed.PeerReport{Peer: peerName(from), Incarnation: incarnation, Sequence: sequence, Report: f.faultyReport()})
}
