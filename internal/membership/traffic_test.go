package membership_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"example.org/milletvane/internal/membership"
)

// countingTransport counts the bytes of the packets that an instance sends.
type countingTransport struct {
	membership.NetworkTransport
	bytes *atomic.Int64
}

func (w countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.bytes.Add(int64(len(b)))
	return w.NetworkTransport.WriteToAddress(b, a)
}

// BenchmarkTraffic measures the mean number of bytes per second that each of 20 instances sends: without messages, and with a
// message of 200 bytes to each of the others five times per second.
func BenchmarkTraffic(b *testing.B) {
	for _, sending := range []bool{false, true} {
		b.Run(fmt.Sprint("sending ", sending), func(b *testing.B) {
			var bytes atomic.Int64
			all := startFleet(b, 20, &bytes)
			time.Sleep(5 * time.Second)
			before := bytes.Load()
			const span = 5 * time.Second
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if sending {
					sendToAll(b, all)
				}
			}
			b.ReportMetric(float64(bytes.Load()-before)/20/span.Seconds(), "bytes/s")
		})
	}
}

// startFleet starts instances that count the bytes that they send. It waits until the first and the last instance know all
// others.
func startFleet(b *testing.B, count int, bytes *atomic.Int64) (all []*membership.Gossip) {
	b.Helper()
	var join []string
	for i := range count {
		g, err := membership.ListenGossip(membership.GossipOptions{
			Options:       membership.Options{Name: fmt.Sprint("n", i), Incarnation: 1},
			Bind:          "127.0.0.1:0",
			Join:          join,
			Key:           key,
			Logger:        slog.New(slog.DiscardHandler),
			WrapTransport: func(w membership.NetworkTransport) membership.NetworkTransport { return countingTransport{w, bytes} },
		})
		if err != nil {
			b.Fatal(err)
		}
		closeAtEnd(b, g)
		all, join = append(all, g), []string{g.Addr()}
	}
	for len(all[0].Members()) < count || len(all[count-1].Members()) < count {
		time.Sleep(50 * time.Millisecond)
	}
	return all
}

func sendToAll(b *testing.B, all []*membership.Gossip) {
	b.Helper()
	payload, rnd := make([]byte, 200), rand.NewChaCha8([32]byte{})
	for _, g := range all {
		for _, m := range g.Members() {
			if m.Name == g.Options().Name {
				continue
			}
			if _, err := rnd.Read(payload); err != nil {
				b.Fatal(err)
			}
			g.Send(m.Name, payload)
		}
	}
}
