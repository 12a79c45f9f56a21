package membership_test

import (
	"encoding/hex"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/milletvane/internal/membership"
)

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
