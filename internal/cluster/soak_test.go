package cluster

import (
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/simnet"
	"example.org/milletvane/internal/wal/faultfs"
)

var soakSeeds = flag.Uint64("soak-seeds", 30, "number of seeds that TestRecoverySoak runs")

const (
	soakEpoch    = 1_700_000_000 * time.Second // Unix time at which a soak begins
	bogusID      = "s-0000beef"                // a server that only the faulty instance reports
	oldVersion   = 7
	newVersion   = 8
	bogusVersion = 1 << 40
)

// soak is a fleet in simulated time. Its instances are real, and a seed determines the failures of their disks and links.
type soak struct {
	random    *rand.Rand
	network   *simnet.Network
	names     []string
	disks     map[string]*faultfs.FS
	instances map[string]*Cluster                // the running instances, by name
	lists     map[string]*discovery.EndpointList // the list that each instance uses
	decisions map[string]recovery.Decision       // the latest decision of each instance
	servers   int                                // number of servers in the old list; the new list has one less
	trace     []string

	staleName  string // the instance whose disk holds the old list
	brokenName string // the instance whose disk is empty or damaged, unless it is the stale one
	faultyName string // the instance that reports a list of its own after the loss of power, or "" if none does
}

func newSoak(seed uint64) *soak {
	rnd := rand.New(rand.NewPCG(seed, 9))
	s := &soak{
		random:    rnd,
		disks:     map[string]*faultfs.FS{},
		instances: map[string]*Cluster{},
		lists:     map[string]*discovery.EndpointList{},
		decisions: map[string]recovery.Decision{},
	}
	s.network = simnet.New(seed, simnet.Faults{
		MaxDelay:      time.Duration(rnd.IntN(150)+1) * time.Millisecond,
		LossRate:      0.2 * rnd.Float64(),
		DuplicateRate: 0.2 * rnd.Float64(),
	})
	for i := range 3 + rnd.IntN(4) {
		name := string(rune('a' + i))
		s.names = append(s.names, name)
		s.disks[name] = faultfs.New(seed*10 + uint64(i))
	}
	s.staleName, s.brokenName = s.randomName(), s.randomName()
	if len(s.names) >= 5 && rnd.IntN(2) == 0 {
		s.faultyName = s.randomName()
	}
	return s
}

func (s *soak) randomName() string { return s.names[s.random.IntN(len(s.names))] }

func (s *soak) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%v ", s.network.Now)+fmt.Sprintf(format, args...))
}

func (s *soak) start(name string) error {
	peers := map[string]string{}
	for _, n := range s.names {
		if n != name {
			peers[n] = n
		}
	}
	c, err := Start(Options{
		Name:           name,
		Peers:          peers,
		Dir:            "d",
		PeerTimeout:    2 * time.Second,
		WarmupDuration: 20 * time.Second,
		FS:             s.disks[name],
		Clock:          func() time.Duration { return soakEpoch + s.network.Now },
		Logger:         slog.New(slog.DiscardHandler),
		Connect:        func(o membership.Options) (membership.Transport, error) { return s.network.Start(o), nil },
	})
	if err != nil {
		return err
	}
	s.tracef("%s starts", name)
	s.instances[name] = c
	delete(s.lists, name)
	return nil
}

func (s *soak) crash(name string) error {
	s.tracef("%s loses power", name)
	if err := s.instances[name].Close(); err != nil {
		return err
	}
	delete(s.instances, name)
	s.disks[name].Crash()
	return nil
}

// advance moves the simulated time forward and does what Recover does for each instance.
func (s *soak) advance(d time.Duration) {
	for range d / stateRequestInterval {
		s.network.Advance(stateRequestInterval)
		for _, name := range s.names {
			if c := s.instances[name]; c != nil {
				s.tick(name, c)
			}
		}
	}
}

func (s *soak) tick(name string, c *Cluster) {
	c.requestStates()
	c.handle(recovery.Tick{})
	for len(c.decisions) > 0 {
		d := <-c.decisions
		s.decisions[name], s.lists[name] = d, c.applyDecision(d)
		s.tracef("%s decides on %v %d without %v", name, d.Source, d.Version, d.Excluded)
	}
}

// All instances lose power at the same time. One restarts with an older list on its disk, one with an empty or damaged disk,
// and one may report a list of its own from then on. One direction of a link is cut for some time, and an instance may lose
// power again during recovery. At the end no instance uses a list that discovery never had, and the instance with the older
// list uses the new one if at least two others hold it.
func TestRecoverySoak(t *testing.T) {
	// With seed 3137 an instance once sent its peers a list that only a faulty instance had reported.
	seeds := []uint64{3137}
	for seed := range *soakSeeds {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		s := newSoak(seed)
		if err := s.run(seed); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.trace)
		}
	}
}

func (s *soak) run(seed uint64) error {
	if err := s.storeLists(); err != nil {
		return err
	}
	if err := s.crashAll(seed); err != nil {
		return err
	}
	if err := s.restartAll(); err != nil {
		return err
	}
	if err := s.recoverWithCutLink(); err != nil {
		return err
	}
	for _, name := range s.names {
		if name == s.faultyName {
			continue
		}
		if err := s.check(name); err != nil {
			return err
		}
	}
	return nil
}

// storeLists starts all instances. All store the old list, and all but the stale one then store the new list.
func (s *soak) storeLists() error {
	for _, name := range s.names {
		if err := s.start(name); err != nil {
			return err
		}
	}
	s.servers = 5 + s.random.IntN(60)
	for version := int64(oldVersion); version <= newVersion; version++ {
		for _, name := range s.names {
			if version == newVersion && name == s.staleName {
				continue
			}
			s.instances[name].UpdateEndpoints(completeList(version, s.servers-int(version-oldVersion)))
			if !s.instances[name].save() {
				return fmt.Errorf("%s did not store the list of version %d", name, version)
			}
		}
	}
	return nil
}

func (s *soak) crashAll(seed uint64) error {
	for _, name := range s.names {
		if err := s.crash(name); err != nil {
			return err
		}
	}
	if s.brokenName != s.staleName && s.random.IntN(2) == 0 {
		s.disks[s.brokenName] = faultfs.New(seed + 1<<40)
	} else if s.brokenName != s.staleName {
		s.disks[s.brokenName].FlipBit("journal", -30)
	}
	return nil
}

func (s *soak) restartAll() error {
	for _, name := range s.names {
		if s.random.IntN(3) == 0 {
			s.advance(time.Duration(s.random.IntN(1500)) * time.Millisecond)
		}
		if err := s.start(name); err != nil {
			return err
		}
		if name == s.faultyName {
			s.makeFaulty(s.instances[name])
		}
	}
	return nil
}

// makeFaulty makes an instance report a list and an uptime that are wrong.
func (s *soak) makeFaulty(c *Cluster) {
	c.servingSince = 1
	c.list.version = bogusVersion
	clear(c.list.byID)
	c.list.byID[bogusID] = discovery.Endpoint{ID: bogusID, State: "in_service", StartedMS: 1}
}

// recoverWithCutLink advances the recovery while one direction of a link is cut. One instance may lose power again.
func (s *soak) recoverWithCutLink() error {
	from, to := s.randomName(), s.randomName()
	s.network.Cut(from, to, true)
	s.advance(time.Second)
	if again := s.randomName(); again != s.faultyName && s.random.IntN(2) == 0 {
		if err := s.crash(again); err != nil {
			return err
		}
		if err := s.start(again); err != nil {
			return err
		}
	}
	s.advance(2 * time.Second)
	s.network.Cut(from, to, false)
	s.advance(6 * time.Second)
	return nil
}

// countHolders returns the number of instances that hold the new list, apart from the given one.
func (s *soak) countHolders(excludedName string) int {
	n := 0
	for _, name := range s.names {
		if name != excludedName && name != s.staleName && name != s.brokenName && name != s.faultyName {
			n++
		}
	}
	return n
}

func (s *soak) check(name string) error {
	list, decision := s.lists[name], s.decisions[name]
	if list == nil {
		if all := s.countHolders(""); all >= 2 {
			return fmt.Errorf("%s uses no list, want the new one, which %d instances hold", name, all)
		}
		return nil
	}
	for _, e := range list.Endpoints {
		if e.ID == bogusID {
			return fmt.Errorf("%s uses the server %s, which only the faulty instance reports", name, bogusID)
		}
		if e.StartedMS < soakEpoch.Milliseconds() {
			return fmt.Errorf("%s has start time %d ms for %s, want it after the loss of power, at least %d ms",
				name, e.StartedMS, e.ID, soakEpoch.Milliseconds())
		}
	}
	holders := s.countHolders(name)
	if name == s.staleName && holders >= 2 && (decision.Version != newVersion || len(list.Endpoints) != s.servers-1) {
		return fmt.Errorf("%s uses version %d from %v with %d servers, want the new list, which %d others hold", name,
			decision.Version, decision.Source, len(list.Endpoints), holders)
	}
	return nil
}

// Guards against a long list that never reaches a peer completely, because its parts fill the queue of the link, which then
// drops the same parts of each answer. The lists have one part more than an answer, or are among the longest that are sent.
func TestLongListsReachAPeerWhole(t *testing.T) {
	for _, servers := range []int{60, 450, 1300} {
		for _, lossRate := range []float64{0, 0.2} {
			t.Run(fmt.Sprintf("%d servers, loss %v", servers, lossRate), func(t *testing.T) {
				s := newSoak(1)
				s.network.Faults = simnet.Faults{MaxDelay: 50 * time.Millisecond, LossRate: lossRate}
				s.names = []string{"a", "b", "c"}
				for _, name := range s.names {
					s.disks[name] = faultfs.New(1)
					failOnError(t, s.start(name))
				}
				for _, name := range s.names[:2] {
					s.instances[name].UpdateEndpoints(completeList(newVersion, servers))
				}
				s.advance(40 * time.Second)
				if list := s.lists["c"]; list == nil || len(list.Endpoints) != servers {
					t.Errorf("the third instance uses a list of %d servers, want %d", listLength(list), servers)
				}
			})
		}
	}
}

func listLength(list *discovery.EndpointList) int {
	if list == nil {
		return 0
	}
	return len(list.Endpoints)
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
