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
	fleetWarmupDuration   = 6 * time.Second // for which a restarted server counts as cold
	fleetFirstVersion     = 7               // of the endpoint list
	warmOpeningsPerSecond = 20.0            // connections that a warm server can open per second
	coldCapacityRatio     = 0.2             // fraction of warmOpeningsPerSecond that a server can open when it starts
	coldOverloadFactor    = 4               // multiple of its cold capacity at which a cold server fails
)

// fleetOptions holds the options of startFleet.
type fleetOptions struct {
	clustered    bool   // the instances are members of a cluster
	tiers        string // the tiers in the operator files; empty means none
	isolateFirst bool   // the first instance has another cluster key, so that no peer accepts its messages
}

// fleet is a set of instances of the program under test, each a process, with fake servers and a fake discovery service.
type fleet struct {
	fleetScenario
	fleetOptions
	root        string // directory of all files
	processes   []*fleetProcess
	catalogAddr string
	retired     int      // index of the server that retireServer removes
	releases    []func() // release the reserved addresses

	mu          sync.Mutex
	catalog     *fakeserver.Catalog // nil while discovery is down
	version     int64
	endpoints   []fakeserver.Endpoint
	lineServers []*fakeserver.LineServer
	startedAt   []time.Time // by server: the time of its restart, or zero
	overloaded  []bool      // by server: it failed under overload and stays down
}

// startFleet starts discovery, servers and processes, and waits until all processes are ready. The caller closes the fleet.
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
		f.lineServers = append(f.lineServers, server)
		f.endpoints = append(f.endpoints, inServiceEndpoint(i, server.Addr()))
	}
	if f.catalog, err = fakeserver.NewCatalogAt("127.0.0.1:0", f.version, f.endpoints...); err != nil {
		return err
	}
	f.catalogAddr = f.catalog.Addr()
	return nil
}

// prepareProcesses reserves the addresses and writes the files of all instances.
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

// reserveAddress reserves an address until the fleet is closed.
func (f *fleet) reserveAddress() (string, error) {
	addr, release, err := fakeserver.ReserveAddress()
	if err == nil {
		f.releases = append(f.releases, release)
	}
	return addr, err
}

// retireServer removes a server from the endpoint list permanently. The server still listens, so that requests that follow
// an old list are counted there.
func (f *fleet) retireServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[f.retired].State = fakeserver.StateTerminated
	f.catalog.SetEndpoint(f.endpoints[f.retired])
	f.version++
}

// losePower kills all processes and stops discovery and all servers.
func (f *fleet) losePower() {
	for _, p := range f.processes {
		p.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.Close()
	f.catalog = nil
	for _, server := range f.lineServers {
		server.Close()
	}
}

// restartServer restarts a server, which is then cold.
func (f *fleet) restartServer(index int) error {
	server, err := fakeserver.NewLineServerAt(f.endpoints[index].Addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lineServers[index], f.startedAt[index] = server, time.Now()
	f.endpoints[index].StartedMS = time.Now().UnixMilli()
	return nil
}

// restartCatalog restarts discovery with a later version of the list: the servers that are not retired, with their start
// times.
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

// requestsAtRetiredServer returns the number of requests of this run that the retired server has received.
func (f *fleet) requestsAtRetiredServer() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, opened := range f.lineServers[f.retired].OpenedByName() {
		if strings.HasPrefix(name, fmt.Sprintf("%x-", f.seed)) {
			count += opened
		}
	}
	return count
}

// requestsAcceptedTwice returns the number of requests that servers accepted more than once.
func (f *fleet) requestsAcceptedTwice() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	opened := map[string]int{}
	for _, server := range f.lineServers {
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

// closeOverloadedServers closes each cold server that opens too many connections in a second, until ctx is done. It returns
// the number of these servers, which stay down.
func (f *fleet) closeOverloadedServers(ctx context.Context) (count int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		overloaded := f.markOverloaded()
		count += len(overloaded)
		for _, server := range overloaded {
			server.Close()
		}
	}
	return count
}

// markOverloaded marks the cold servers that have become overloaded since the last call, and returns them.
func (f *fleet) markOverloaded() (newlyOverloaded []*fakeserver.LineServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, server := range f.lineServers {
		cold := !f.startedAt[i].IsZero() && time.Since(f.startedAt[i]) < fleetWarmupDuration
		if cold && !f.overloaded[i] && server.MaxOpenedWithin(time.Second) > maxColdOpenings() {
			f.overloaded[i] = true
			newlyOverloaded = append(newlyOverloaded, server)
		}
	}
	return newlyOverloaded
}

// maxColdOpenings returns the number of connections that a cold server can open per second when it starts, with the
// tolerance that the platform allows.
func maxColdOpenings() int {
	n := coldOverloadFactor * coldCapacityRatio * warmOpeningsPerSecond
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
	for _, server := range f.lineServers {
		server.Close()
	}
	return os.RemoveAll(f.root)
}
