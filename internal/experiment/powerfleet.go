package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"example.org/milletvane/internal/fakeserver"
)

// powerFleet is a fleet that loses power: gateways are processes, nodes and discovery stand-ins that start and end.
type powerFleet struct {
	root, program string
	gates         int
	tiers         string // of the operator files; empty: none
	list          []*fleetGate
	catalogAddr   string
	retired       int
	release       []func() // of addresses

	mu      sync.Mutex
	catalog *fakeserver.Catalog // nil: down
	version int64
	entries []fakeserver.Endpoint
	nodes   []*fakeserver.LineServer
	started []time.Time
	down    []bool // tipped, and down for good
}

// reserve keeps an address for the fleet's time.
func (f *powerFleet) reserve() (string, error) {
	addr, release, err := fakeserver.ReserveAddress()
	if err == nil {
		f.release = append(f.release, release)
	}
	return addr, err
}

// begin starts discovery and the nodes, and writes the gateways' files.
func (f *powerFleet) begin(n int, together bool, plant string) error {
	f.retired = n - 1
	for i := range n {
		s, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, s)
		f.entries = append(f.entries, fakeserver.Endpoint{ID: fmt.Sprintf("s-%08x", i+1), Addr: s.Addr(), State: fakeserver.StateInService, Weight: 1})
	}
	f.started, f.down, f.version = make([]time.Time, n), make([]bool, n), 7
	var err error
	if f.catalog, err = fakeserver.NewCatalogAt("127.0.0.1:0", f.version, f.entries...); err != nil {
		return err
	}
	f.catalogAddr = f.catalog.Addr()
	addrs := make([]string, f.gates)
	for i := range addrs {
		if addrs[i], err = f.reserve(); err != nil {
			return err
		}
	}
	for name, key := range map[string]string{"key": "0123456789abcdef", "other": "fedcba9876543210"} {
		if err := os.WriteFile(filepath.Join(f.root, name), []byte(key), 0o600); err != nil {
			return err
		}
	}
	for i := range f.gates {
		g := &fleetGate{name: fmt.Sprint("g", i), dir: filepath.Join(f.root, fmt.Sprint("disk", i))}
		if g.listen, err = f.reserve(); err != nil {
			return err
		}
		if err := os.MkdirAll(g.dir, 0o700); err != nil {
			return err
		}
		if g.log, err = os.Create(filepath.Join(f.root, g.name+".log")); err != nil {
			return err
		}
		config := filepath.Join(f.root, g.name+".json")
		text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"known":%s,"settings":%s}`, g.name, g.listen, f.catalogAddr, f.known(),
			strings.NewReplacer(`"cold_ns":11000000000`, fmt.Sprintf(`"cold_ns":%d`, faultCold),
				`"discovery":"ask"`, fmt.Sprintf(`"discovery":"ask","replicas_of_me":%d`, f.gates),
				`"classes":[`, `"classes":[{"name":"high","effect":"idempotent","give_up_ns":5000000000,"slo_ns":1000000000},
				 {"name":"mid","effect":"idempotent","give_up_ns":5000000000,"slo_ns":1000000000},`).Replace(lineSettings))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return err
		}
		g.env = append(os.Environ(), "PROXY_CONFIG="+config, "TMPDIR="+f.root)
		if together {
			var b strings.Builder
			key := "key"
			if plant == "trust-stale-list" && i == 0 {
				key = "other" // nobody hears it, and it is left with its disk
			}
			fmt.Fprintf(&b, "(cluster (listen %q) (key-file %q) (dir %q) (peers-within \"1500ms\")\n", addrs[i], key, g.dir)
			for k, addr := range addrs {
				if k != i {
					name := fmt.Sprint("g", k)
					fmt.Fprintf(&b, "  (member %q %q)\n", name, addr)
				}
			}
			b.WriteString(f.tiers + ")\n")
			file := filepath.Join(f.root, g.name+".edn")
			if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
				return err
			}
			g.env = append(g.env, "MILLETVANE_OPERATOR="+file)
		}
		f.list = append(f.list, g)
	}
	return nil
}

// known is the list that the platform's configuration has: as it was at the beginning.
func (f *powerFleet) known() string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"full":true,"servers":[`, f.version)
	for i, e := range f.entries {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"addr":%q,"state":%q,"weight":1}`, e.ID, e.Addr, e.State)
	}
	b.WriteString("]}")
	return b.String()
}

// retire takes a node out of the list for good. It goes on listening: who sends to it goes by an old list.
func (f *powerFleet) retire(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[i].State = fakeserver.StateTerminated
	f.catalog.SetEndpoint(f.entries[i])
	f.version++
}

// lose is a loss of power: processes, nodes and discovery end at once.
func (f *powerFleet) lose() {
	for _, g := range f.list {
		g.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog.Close()
	f.catalog = nil
	for _, n := range f.nodes {
		n.Close()
	}
}

// nodeBack starts a node again, cold.
func (f *powerFleet) nodeBack(i int) error {
	s, err := fakeserver.NewLineServerAt(f.entries[i].Addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i], f.started[i] = s, time.Now()
	f.entries[i].StartedMS = time.Now().UnixMilli()
	return nil
}

// listBack starts discovery again: it lists the nodes that are not retired, with their starts.
func (f *powerFleet) listBack() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	c, err := fakeserver.NewCatalogAt(f.catalogAddr, f.version, f.entries...)
	f.catalog = c
	return err
}

// toRetired counts the play's requests that went to the node that had left.
func (f *powerFleet) toRetired(seed uint64) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, k := range f.nodes[f.retired].OpenedByName() {
		if strings.HasPrefix(name, fmt.Sprintf("%x-", seed)) {
			n += k
		}
	}
	return n
}

// watchNodes has a cold node that is asked for too much fall and stay down, and counts them.
func (f *powerFleet) watchNodes(ctx context.Context) (tipped int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		var fall []*fakeserver.LineServer
		for i, n := range f.nodes {
			cold := !f.started[i].IsZero() && time.Since(f.started[i]) < faultCold
			if cold && !f.down[i] && n.MaxOpenedWithin(time.Second) > tips() {
				f.down[i] = true
				tipped++
				fall = append(fall, n)
			}
		}
		f.mu.Unlock()
		for _, n := range fall {
			n.Close()
		}
	}
	return tipped
}

func (f *powerFleet) close() {
	for _, g := range f.list {
		g.kill()
		g.log.Close()
	}
	for _, release := range f.release {
		release()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catalog != nil {
		f.catalog.Close()
	}
	for _, n := range f.nodes {
		n.Close()
	}
}

// ask opens a connection through a gateway, holds it for a while once it is up, and looks for a second answer meanwhile.
func (o *outcome) ask(gate, class, name string) {
	c, err := net.DialTimeout("tcp", gate, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	const wait = 2 * time.Second
	c.SetDeadline(time.Now().Add(wait + 500*time.Millisecond))
	if _, err := fmt.Fprintf(c, "OPEN %s %s c=%s,d=%d\r\n", name, name, class, wait.Milliseconds()); err != nil {
		return
	}
	o.taken = true
	r := bufio.NewReader(c)
	if o.answer, err = r.ReadString('\n'); err != nil {
		// A gateway that lost power resets what it took; one that runs and says nothing has lost it.
		var timeout net.Error
		o.taken = errors.As(err, &timeout) && timeout.Timeout()
		return
	}
	o.served = strings.HasPrefix(o.answer, "UP ")
	c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	more, _ := r.ReadString('\n')
	o.twice = strings.HasPrefix(more, "UP ") || strings.HasPrefix(more, "BUSY")
}
