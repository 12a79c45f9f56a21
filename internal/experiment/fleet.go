package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"example.org/milletvane/internal/fakeserver"
)

const (
	fleetWarmupDuration = 6 * time.Second // of servers
	fleetFirstVersion   = 7               // of the endpoint list
	warmOpenings        = 20.0            // that a warm server bears in a second
	coldShare           = 0.2             // of that, when it starts
	coldOverloadFactor  = 4               // by which a cold server is pushed over
)

// fleetOptions say what a fleet is like.
type fleetOptions struct {
	clustered    bool   // instances are members of a cluster
	tiers        string // of the operator files; empty: none
	isolateFirst bool   // no peer hears the first instance
}

// fleet is instances of the program under test, each a process, with fake servers and discovery.
type fleet struct {
	fleetScenario
	fleetOptions
	root        string // directory of all files
	processes   []*fleetProcess
	catalogAddr string
	retired     int      // index of the server that leaves the list for good
	releases    []func() // of reserved addresses

	mu         sync.Mutex
	catalog    *fakeserver.Catalog // nil: down
	version    int64
	endpoints  []fakeserver.Endpoint
	lineServer []*fakeserver.LineServer
	startedAt  []time.Time // zero for a server that never restarted
	overloaded []bool      // pushed over, and down for good
}

// startFleet starts discovery, servers and processes, and waits until all processes serve. The caller closes it.
func startFleet(ctx context.Context, scenario fleetScenario, options fleetOptions) (*fleet, error) {
	root, err := os.MkdirTemp("", "fleet-faults")
	if err != nil {
		return nil, err
	}
	f := &fleet{fleetScenario: scenario, fleetOptions: options, root: root, version: fleetFirstVersion}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.close())
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	if err := f.startServers(); err != nil {
		return err
	}
	if err := f.prepareProcesses(); err != nil {
		return err
	}
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range f.processes {
		if err := p.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startServers() (err error) {
	count := f.servers()
	f.retired = count - 1
	f.startedAt, f.overloaded = make([]time.Time, count), make([]bool, count)
	for i := range count {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		f.lineServer = append(f.lineServer, server)
		f.endpoints = append(f.endpoints, inServiceEndpoint(i, server.Addr()))
	}
	if f.catalog, err = fakeserver.NewCatalogAt("127.0.0.1:0", f.version, f.endpoints...); err != nil {
		return err
	}
	f.catalogAddr = f.catalog.Addr()
	return nil
}

// prepareProcesses writes the files of all instances.
func (f *fleet) prepareProcesses() (err error) {
	if err := writeClusterKeys(f.root); err != nil {
		return err
	}
	peerAddrs := make([]string, f.instances)
	for i := range peerAddrs {
		if peerAddrs[i], err = f.reserveAddress(); err != nil {
			return err
		}
	}
	for i := range f.instances {
		p, err := f.prepareProcess(i, peerAddrs)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, p)
	}
	return nil
}

func (f *fleet) prepareProcess(index int, peerAddrs []string) (*fleetProcess, error) {
	p := &fleetProcess{name: instanceName(index), dir: filepath.Join(f.root, fmt.Sprintf("disk%d", index)), program: f.program}
	var err error
	if p.listen, err = f.reserveAddress(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, err
	}
	configEnv, err := f.writeConfig(p)
	if err != nil {
		return nil, err
	}
	p.env = append(os.Environ(), configEnv, "TMPDIR="+f.root)
	if f.clustered {
		clusterEnv, err := f.writeClusterFile(p, index, peerAddrs)
		if err != nil {
			return nil, err
		}
		p.env = append(p.env, clusterEnv)
	}
	p.log, err = os.Create(filepath.Join(f.root, p.name+".log"))
	return p, err
}

// reserveAddress reserves an address for the fleet's time.
func (f *fleet) reserveAddress() (string, error) {
	addr, release, err := fakeserver.ReserveAddress()
	if err == nil {
		f.releases = append(f.releases, release)
	}
	return addr, err
}

// retireServer takes a server out of the list for good. It goes on listening: what comes to it went by an old list.
func (f *fleet) retireServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[f.retired].State = fakeserver.StateTerminated
	f.catalog.SetEndpoint(f.endpoints[f.retired])
	f.version++
}

// losePower ends processes, servers and discovery at once.
func (f *fleet) losePower() {
	for _, p := range f.processes {
		p.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.Close()
	f.catalog = nil
	for _, server := range f.lineServer {
		server.Close()
	}
}

// restartServer starts a server again, cold.
func (f *fleet) restartServer(index int) error {
	server, err := fakeserver.NewLineServerAt(f.endpoints[index].Addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lineServer[index], f.startedAt[index] = server, time.Now()
	f.endpoints[index].StartedMS = time.Now().UnixMilli()
	return nil
}

// restartCatalog starts discovery again: it lists the servers that are not retired, with their starts.
func (f *fleet) restartCatalog() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	catalog, err := fakeserver.NewCatalogAt(f.catalogAddr, f.version, f.endpoints...)
	if err != nil {
		return err
	}
	f.catalog = catalog
	return nil
}

// openedAtRetired counts the run's requests that came to the retired server.
func (f *fleet) openedAtRetired() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, opened := range f.lineServer[f.retired].OpenedByName() {
		if strings.HasPrefix(name, fmt.Sprintf("%x-", f.seed)) {
			count += opened
		}
	}
	return count
}

// requestsOpenedTwice counts the requests that more than one server accepted.
func (f *fleet) requestsOpenedTwice() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened := map[string]int{}
	for _, server := range f.lineServer {
		for name, n := range server.OpenedByName() {
			opened[name] += n
		}
	}
	for _, n := range opened {
		if n > 1 {
			count++
		}
	}
	return count
}

// endOverloadedServers has each cold server that gets too many connections fall and stay down, until ctx is done. It
// returns their number.
func (f *fleet) endOverloadedServers(ctx context.Context) (count int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		fallen := f.markOverloaded()
		count += len(fallen)
		for _, server := range fallen {
			server.Close()
		}
	}
	return count
}

func (f *fleet) markOverloaded() (fallen []*fakeserver.LineServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, server := range f.lineServer {
		cold := !f.startedAt[i].IsZero() && time.Since(f.startedAt[i]) < fleetWarmupDuration
		if cold && !f.overloaded[i] && server.MaxOpenedWithin(time.Second) > maxColdOpenings() {
			f.overloaded[i] = true
			fallen = append(fallen, server)
		}
	}
	return fallen
}

// maxColdOpenings is how many openings in a second a cold server bears when it starts, with the platform's slack.
func maxColdOpenings() int {
	n := coldOverloadFactor * coldShare * warmOpenings
	return int(n + 3*math.Sqrt(n) + 3)
}

func (f *fleet) close() error {
	for _, p := range f.processes {
		p.kill()
		_ = p.log.Close()
	}
	for _, release := range f.releases {
		release()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog != nil {
		f.catalog.Close()
	}
	for _, server := range f.lineServer {
		server.Close()
	}
	return os.RemoveAll(f.root)
}
