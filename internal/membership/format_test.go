package membership_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/simnet"
	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// Instances of two builds talk to one another, and a build may start on the incarnation file of another. These tests hold
// the packets and that file against testdata, byte for byte, with what is read of them field by field.

var updateFormat = flag.Bool("update-format", false, "write the files of testdata/format anew")

// compare holds a text against a file of testdata, or writes the file anew where the flag says so.
func compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "format", name)
	if *updateFormat {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs from line %d on:\n got %q\nwant %q", path, i+1, gotLines[min(i, len(gotLines)-1):], wantLines[min(i, len(wantLines)-1):])
		}
	}
}

func shortDigest(text string) string {
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:8])
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// rawMessage is a message's packet, spelled out.
func rawMessage(name string, incarnation byte, body string) []byte {
	return slices.Concat([]byte{1, 1, byte(len(name))}, []byte(name), []byte{0, 0, 0, 0, 0, 0, 0, incarnation}, []byte(body))
}

// takes says what an endpoint makes of packets, one after another, field by field.
func takes(own uint64, raise func(uint64) (uint64, error), packets ...[]byte) string {
	var b strings.Builder
	e := membership.NewEndpoint(membership.Options{Name: "a", Incarnation: own,
		OnMessage: func(m membership.Message) {
			fmt.Fprintf(&b, "message from %q incarnation %d body %x\n", m.From, m.Incarnation, m.Payload)
		},
		BumpIncarnation: func(above uint64) (uint64, error) {
			fmt.Fprintf(&b, "incarnation %d is known\n", above)
			return raise(above)
		}})
	for _, p := range packets {
		to, reply := e.HandlePacket(p)
		fmt.Fprintf(&b, "reply to %q %x\n", to, reply)
	}
	fmt.Fprintf(&b, "own incarnation %d\n", e.Incarnation())
	counts := e.Counts()
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := counts[name]
		fmt.Fprintf(&b, "peer %q incarnation %d: sent %d dropped %d received %d old %d bad %d\n", name, e.PeerIncarnation(name), c.Sent, c.Dropped, c.Received, c.Stale, c.Malformed)
	}
	return b.String()
}

func oneMore(above uint64) (uint64, error) { return above + 1, nil }

// Packets of every kind have the bytes that stand in testdata, and those are read as is said there.
func TestPacketsKeepTheirFormat(t *testing.T) {
	var written strings.Builder
	for _, c := range []struct {
		name        string
		incarnation uint64
		body        string
	}{{"b", 7, "body"}, {"gateway-17.zone", 0x0102030405060708, "\x00\xff"}, {"b", 0, ""}, {strings.Repeat("n", 128), 1<<64 - 1, strings.Repeat("x", 1100)}} {
		e := membership.NewEndpoint(membership.Options{Name: c.name, Incarnation: c.incarnation})
		fmt.Fprintf(&written, "message %x\n", e.EncodeMessage([]byte(c.body)))
	}
	e := membership.NewEndpoint(membership.Options{Name: "a", Incarnation: 3})
	e.ObserveIncarnation("b", 0x0a0b0c0d0e0f1011)
	_, reply := e.HandlePacket(rawMessage("b", 5, "of an earlier life"))
	fmt.Fprintf(&written, "remembered %x\n", reply)
	compare(t, "packets.written", written.String())

	stored, err := os.ReadFile(filepath.Join("testdata", "format", "packets.written"))
	if err != nil {
		t.Fatal(err)
	}
	var read strings.Builder
	for line := range strings.Lines(string(stored)) {
		kind, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		fmt.Fprintf(&read, "%s\n%s", kind, takes(1, oneMore, unhex(t, text)))
	}
	compare(t, "packets.read", read.String())
}

// Packets of two versions, kinds, lengths and incarnations are taken or not as ever, with the same answers.
func TestPacketsAreTakenAsBefore(t *testing.T) {
	message := rawMessage("b", 7, "body")
	remembered := func(incarnation byte) []byte {
		b := slices.Concat([]byte{1, 2, 1, 'b'}, make([]byte, 8))
		b[11] = incarnation
		return b
	}
	change := func(at int, to byte) []byte {
		b := slices.Clone(message)
		b[at] = to
		return b
	}
	long := func(name, body int) []byte {
		return slices.Concat([]byte{1, 1, byte(name)}, bytes.Repeat([]byte{'n'}, name), make([]byte, 8), make([]byte, body))
	}
	refuse := func(uint64) (uint64, error) { return 0, errors.New("no disk") }
	same := func(above uint64) (uint64, error) { return above, nil }
	var all strings.Builder
	for _, c := range []struct {
		name    string
		own     uint64
		raise   func(uint64) (uint64, error)
		packets [][]byte
	}{
		{"message", 1, oneMore, [][]byte{message}},
		{"twice", 1, oneMore, [][]byte{message, message}},
		{"later incarnation", 1, oneMore, [][]byte{message, rawMessage("b", 8, "x")}},
		{"earlier incarnation", 1, oneMore, [][]byte{message, rawMessage("b", 6, "x"), message}},
		{"two peers", 1, oneMore, [][]byte{message, rawMessage("c", 1, "x")}},
		{"its own name", 1, oneMore, [][]byte{rawMessage("a", 9, "x")}},
		{"nothing", 1, oneMore, [][]byte{nil, {}, {1}, {1, 1}}},
		{"another version", 1, oneMore, [][]byte{change(0, 0), change(0, 2)}},
		{"another kind", 1, oneMore, [][]byte{change(1, 0), change(1, 3), change(1, 255)}},
		{"no name", 1, oneMore, [][]byte{change(2, 0)}},
		{"name of 128", 1, oneMore, [][]byte{long(128, 1)}},
		{"name of 129", 1, oneMore, [][]byte{long(129, 1)}},
		{"body of 1100", 1, oneMore, [][]byte{long(4, 1100)}},
		{"body of 1101", 1, oneMore, [][]byte{long(4, 1101)}},
		{"remembered later", 1, oneMore, [][]byte{remembered(9), remembered(9), remembered(10), remembered(11)}},
		{"remembered own", 9, oneMore, [][]byte{remembered(9)}},
		{"remembered earlier", 10, oneMore, [][]byte{remembered(9)}},
		{"remembered without a disk", 1, refuse, [][]byte{remembered(9), remembered(9)}},
		{"remembered and not raised", 1, same, [][]byte{remembered(9)}},
	} {
		fmt.Fprintf(&all, "%s\n%s\n", c.name, takes(c.own, c.raise, c.packets...))
	}
	for _, base := range [][]byte{message, remembered(9), long(3, 20)} {
		var cuts, flips strings.Builder
		for at := range base {
			cuts.WriteString(takes(1, oneMore, base[:at]))
			for bit := range 8 {
				b := slices.Clone(base)
				b[at] ^= 1 << bit
				flips.WriteString(takes(1, oneMore, b, message))
			}
		}
		fmt.Fprintf(&all, "%x: cuts %s flips %s\n", base, shortDigest(cuts.String()), shortDigest(flips.String()))
	}
	o := membership.NewEndpoint(membership.Options{}).Options()
	fmt.Fprintf(&all, "bounds: %d bytes a second, %d messages, a body of %d, 1000 bytes in %d\n", o.BytesPerSecond, o.MaxQueuedMessages, membership.MaxBodyBytes, o.SendDuration(1000))
	compare(t, "packets.taken", all.String())
}

// The incarnation file has the bytes that stand in testdata; whatever stands in it, the next number is as ever.
func TestTheIncarnationFileKeepsItsFormat(t *testing.T) {
	content := func(d wal.FS) string {
		b, err := d.ReadFile("d/incarnation")
		if err != nil {
			return "none"
		}
		return hex.EncodeToString(b)
	}
	diskWith := func(file []byte) *faultfs.FS {
		d := faultfs.New(1)
		if file == nil {
			return d
		}
		w, err := d.Create("d/incarnation")
		if err != nil {
			t.Fatal(err)
		}
		w.Write(file)
		return d
	}
	next := func(d wal.FS, above uint64, now time.Duration) string {
		i, err := membership.OpenIncarnations(d, "d")
		if err != nil {
			return incarnationOutcome(err)
		}
		n, err := i.Next(above, now)
		if err != nil {
			return incarnationOutcome(err) + " file " + content(d)
		}
		return fmt.Sprintf("%d file %s", n, content(d))
	}
	var all strings.Builder
	for _, c := range []struct {
		above uint64
		now   time.Duration
	}{{0, 0}, {0, -time.Second}, {41, 0}, {0, 1999999 * time.Nanosecond}, {0, 1_700_000_000_123 * time.Millisecond}, {1<<63 + 5, time.Hour}} {
		fmt.Fprintf(&all, "empty disk above %d now %d: %s\n", c.above, c.now, next(faultfs.New(1), c.above, c.now))
	}
	file := unhex(t, "0000018bcfe5687b 83bc284f")
	d := faultfs.New(1)
	next(d, 0, 1_700_000_000_123*time.Millisecond)
	written, err := d.ReadFile("d/incarnation")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&all, "written %x\n", written)
	if !bytes.Equal(written, file) {
		t.Errorf("written %x, want %x", written, file)
	}
	fmt.Fprintf(&all, "after it: %s\n", next(diskWith(file), 0, 0))
	fmt.Fprintf(&all, "after it, above a higher one: %s\n", next(diskWith(file), 1<<50, 0))
	fmt.Fprintf(&all, "after it, later: %s\n", next(diskWith(file), 0, 1_800_000_000*time.Second))
	for at := range len(file) {
		damaged := slices.Clone(file)
		damaged[at] ^= 0x10
		fmt.Fprintf(&all, "cut to %d: %s\n", at, next(diskWith(file[:at]), 3, 0))
		fmt.Fprintf(&all, "flipped at %d: %s\n", at, next(diskWith(damaged), 3, 0))
	}
	fmt.Fprintf(&all, "too long: %s\n", next(diskWith(append(slices.Clone(file), 0)), 3, 0))
	for _, err := range []error{syscall.EIO, syscall.ENOSPC} {
		for call := range 7 {
			disk := diskWith(file)
			fmt.Fprintf(&all, "%v at call %d: %s, then %s\n", err == syscall.ENOSPC, call, next(&failingFS{FS: disk, at: call, err: err}, 0, 0), next(disk, 0, 0))
		}
	}
	compare(t, "incarnation", all.String())
}

// incarnationOutcome names an error without its text.
func incarnationOutcome(err error) string {
	var failed *membership.IncarnationError
	if !errors.As(err, &failed) {
		return "other error"
	}
	return fmt.Sprintf("no incarnation in %s, again %t", failed.File, failed.Retryable())
}

// failingFS fails one of the calls that write an incarnation, by its number.
type failingFS struct {
	wal.FS
	at, call int
	err      error
}

func (f *failingFS) fails() error {
	f.call++
	if f.call-1 == f.at {
		return f.err
	}
	return nil
}

func (f *failingFS) MkdirAll(dir string) error { return errors.Join(f.fails(), f.FS.MkdirAll(dir)) }

func (f *failingFS) ReadFile(name string) ([]byte, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	return f.FS.ReadFile(name)
}

func (f *failingFS) Create(name string) (wal.File, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	w, err := f.FS.Create(name)
	return &failingFile{w, f}, err
}

func (f *failingFS) Rename(from, to string) error {
	if err := f.fails(); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

func (f *failingFS) SyncDir(dir string) error {
	if err := f.fails(); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type failingFile struct {
	wal.File
	fs *failingFS
}

func (f *failingFile) Write(b []byte) (int, error) {
	if err := f.fs.fails(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *failingFile) Sync() error {
	if err := f.fs.fails(); err != nil {
		return err
	}
	return f.File.Sync()
}

// plainNode is a member that knows memberlist alone, and nothing of this package.
type plainNode struct {
	mu     sync.Mutex
	got    []string // packets, in hex
	nodes  map[string]string
	packet []byte // its meta
}

func (n *plainNode) NodeMeta(int) []byte { return n.packet }
func (n *plainNode) NotifyMsg(b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.got = append(n.got, hex.EncodeToString(b))
}
func (n *plainNode) GetBroadcasts(int, int) [][]byte    { return nil }
func (n *plainNode) LocalState(bool) []byte             { return nil }
func (n *plainNode) MergeRemoteState([]byte, bool)      {}
func (n *plainNode) NotifyLeave(*memberlist.Node)       {}
func (n *plainNode) NotifyUpdate(node *memberlist.Node) { n.NotifyJoin(node) }
func (n *plainNode) NotifyJoin(node *memberlist.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[node.Name] = hex.EncodeToString(node.Meta)
}

func (n *plainNode) state(of string) (meta string, got []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[of], slices.Clone(n.got)
}

// Over sockets an instance is a member of memberlist's kind: with its incarnation as metadata of eight bytes, and each
// message as one packet that is no more than its own bytes.
func TestSocketsCarryPacketsAsTheyAre(t *testing.T) {
	r := socketRig{t: t, links: &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}}
	var box inbox
	a := r.Start(membership.Options{Name: "a", Incarnation: 0x0102030405060708, OnMessage: box.receive})
	host, text, err := net.SplitHostPort(freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	plain := &plainNode{nodes: map[string]string{}, packet: unhex(t, "0000 0000 0000 0007")}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort, c.SecretKey = "b", host, port, port, key
	c.Logger, c.Delegate, c.Events = log.New(io.Discard, "", 0), plain, plain
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval = 100*time.Millisecond, 50*time.Millisecond, 20*time.Millisecond
	list, err := memberlist.Create(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := list.Shutdown(); err != nil {
			t.Error(err)
		}
	})
	if _, err := list.Join([]string{r.links.addrs["a"]}); err != nil {
		t.Fatal(err)
	}
	const want = "010101" + "61" + "0102030405060708" + "68656c6c6f" // head, name, incarnation, body
	until(t, r, "the packet and the metadata are there", func() bool {
		a.Send("b", []byte("hello"))
		meta, got := plain.state("a")
		return meta == "0102030405060708" && slices.Contains(got, want)
	})
	if _, got := plain.state("a"); slices.ContainsFunc(got, func(p string) bool { return p != want }) {
		t.Errorf("packets %q, want %q alone", got, want)
	}
	for _, m := range a.Members() {
		if m.Name == "b" && m.Incarnation != 7 {
			t.Errorf("b has incarnation %d, want 7", m.Incarnation)
		}
	}
	until(t, r, "a has what b sends", func() bool {
		for _, m := range list.Members() {
			if m.Name == "a" {
				if err := list.SendBestEffort(m, rawMessage("b", 7, "raw")); err != nil {
					t.Fatal(err)
				}
			}
		}
		return box.count("b", 7) > 0
	})
}

// The simulated network delivers the same packets at the same times for a seed: what soak tests found stays found.
func TestSimulatedNetworksRunAsBefore(t *testing.T) {
	var all strings.Builder
	for seed := range uint64(120) {
		fmt.Fprintf(&all, "%d %s\n", seed, shortDigest(simulate(seed)))
	}
	compare(t, "simulated.digests", all.String())
}

// simulate plays some seconds of a network with faults, cuts and restarts that a seed decides.
func simulate(seed uint64) string {
	rnd := newDraw(seed)
	var b strings.Builder
	n := simnet.New(seed, simnet.Faults{MinDelay: time.Duration(rnd(20)) * time.Millisecond, MaxDelay: time.Duration(20+rnd(200)) * time.Millisecond,
		LossRate: float64(rnd(30)) / 100, DuplicateRate: float64(rnd(30)) / 100})
	names := []string{"a", "b", "c", "d"}
	nodes := map[string]*simnet.Node{}
	start := func(name string, incarnation uint64) {
		o := membership.Options{Name: name, Incarnation: incarnation, BytesPerSecond: []int{0, 2000, 20000}[rnd(3)], MaxQueuedMessages: []int{0, 2, 8}[rnd(3)],
			OnMessage: func(m membership.Message) {
				fmt.Fprintf(&b, "%d %s from %s incarnation %d body %x\n", n.Now, name, m.From, m.Incarnation, m.Payload)
			}}
		if rnd(2) == 0 {
			o.BumpIncarnation = func(above uint64) (uint64, error) {
				fmt.Fprintf(&b, "%d %s raised above %d\n", n.Now, name, above)
				return above + 2, nil
			}
		}
		nodes[name] = n.Listen(o)
	}
	for _, name := range names {
		start(name, 5)
	}
	for range 60 {
		from, to := names[rnd(4)], []string{"a", "b", "c", "d", "nobody"}[rnd(5)]
		switch rnd(12) {
		case 0:
			n.Cut(from, to, rnd(2) == 0)
		case 1:
			nodes[from].Close()
		case 2:
			start(from, uint64(rnd(10)))
		case 3:
			nodes[from].Send(to, make([]byte, 1099+rnd(4)))
		case 4, 5, 6:
			n.Advance(time.Duration(rnd(1500)) * time.Millisecond)
		default:
			nodes[from].Send(to, bytes.Repeat([]byte{byte(rnd(256))}, rnd(300)))
		}
		for _, m := range nodes[from].Members() {
			state := "alive"
			switch m.State {
			case membership.Suspect:
				state = "suspect"
			case membership.Dead:
				state = "gone"
			}
			fmt.Fprintf(&b, "%d %s knows %s incarnation %d %s\n", n.Now, from, m.Name, m.Incarnation, state)
		}
	}
	n.Advance(5 * time.Second)
	for _, name := range names {
		counts := nodes[name].Counts()
		for _, of := range append(names, "", "nobody") {
			c := counts[of]
			fmt.Fprintf(&b, "%s of %q: sent %d dropped %d received %d old %d bad %d\n", name, of, c.Sent, c.Dropped, c.Received, c.Stale, c.Malformed)
		}
	}
	return b.String()
}

// newDraw returns numbers below a bound that a seed decides, the same on every machine and build.
func newDraw(seed uint64) func(below int) int {
	state := seed*0x9e3779b97f4a7c15 + 1
	return func(below int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int((state >> 33) % uint64(below))
	}
}
