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

// memberlistNode is the delegate of a member that uses memberlist directly, without this package.
type memberlistNode struct {
	mu     sync.Mutex
	meta   []string // received packets in hex
	nodes  map[string]string
	packet []byte // its meta
}

func (n *memberlistNode) NodeMeta(int) []byte { return n.packet }
func (n *memberlistNode) NotifyMsg(b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meta = append(n.meta, hex.EncodeToString(b))
}
func (n *memberlistNode) GetBroadcasts(int, int) [][]byte    { return nil }
func (n *memberlistNode) LocalState(bool) []byte             { return nil }
func (n *memberlistNode) MergeRemoteState([]byte, bool)      {}
func (n *memberlistNode) NotifyLeave(*memberlist.Node)       {}
func (n *memberlistNode) NotifyUpdate(node *memberlist.Node) { n.NotifyJoin(node) }
func (n *memberlistNode) NotifyJoin(node *memberlist.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[node.Name] = hex.EncodeToString(node.Meta)
}

func (n *memberlistNode) received(of string) (meta string, got []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[of], slices.Clone(n.meta)
}

// Guards against changes in how a Gossip uses memberlist. A member that uses memberlist directly must see the incarnation as
// 8 bytes of metadata and receive each message as one packet without additional bytes. The Gossip must accept the packets of
// that member.
func TestGossipSendsPacketsUnchanged(t *testing.T) {
	r := socketFixture{t: t, links: &links{addrs: map[string]string{}, cut: map[[2]string]bool{}}}
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
	plain := &memberlistNode{nodes: map[string]string{}, packet: mustDecodeHex(t, "0000 0000 0000 0007")}
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
	const want = "010101" + "61" + "0102030405060708" + "68656c6c6f" // header, name, incarnation, payload
	waitFor(t, r, "the member has received the packet and the metadata of a", func() bool {
		a.Send("b", []byte("hello"))
		meta, got := plain.received("a")
		return meta == "0102030405060708" && slices.Contains(got, want)
	})
	if _, got := plain.received("a"); slices.ContainsFunc(got, func(p string) bool { return p != want }) {
		t.Errorf("got packets %q, want only %q", got, want)
	}
	for _, m := range a.Members() {
		if m.Name == "b" && m.Incarnation != 7 {
			t.Errorf("b has incarnation %d, want 7", m.Incarnation)
		}
	}
	waitFor(t, r, "a has received a message from b", func() bool {
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
