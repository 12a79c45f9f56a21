package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

// BenchmarkNATSRelay measures the round trip of one message through the gateway. The round trip allocates nothing.
func BenchmarkNATSRelay(b *testing.B) {
	server, err := fakeserver.NewNATSEcho()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	buf := make([]byte, 64<<10)
	conn := dialEcho(b, startBenchmarkGateway(b, server.Addr()), buf)
	defer closeAll(b, conn)
	frame := []byte("PUB bench 128\r\n" + strings.Repeat("x", 128) + "\r\n")
	answer := len("MSG bench 1 128\r\n") + 128 + 2
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(frame); err != nil {
			b.Fatal(err)
		}
		for n := 0; n < answer; {
			k, err := conn.Read(buf)
			if err != nil {
				b.Fatal(err)
			}
			n += k
		}
	}
}

// startBenchmarkGateway runs a gateway in front of one node and returns the gateway's address for NATS clients.
func startBenchmarkGateway(b *testing.B, node string) string {
	b.Helper()
	catalog, err := fakeserver.NewCatalog(
		fakeserver.Endpoint{ID: "s-00000001", Addr: node, State: fakeserver.StateInService, Weight: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(catalog.Close)
	addr := releasedAddr(b)
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"settings":%s}`, releasedAddr(b), catalog.Addr(), natsSettings)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	op, err := operator.Parse("bench", []byte(fmt.Sprintf(natsOperator, addr, "")), nil)
	if err != nil {
		b.Fatal(err)
	}
	g, err := gateway.New(*c, gateway.WithLogger(slog.New(slog.DiscardHandler)), gateway.WithOperator(op))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return addr
}

// releasedAddr returns an address whose port the kernel has just picked and that has been released again.
func releasedAddr(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer closeAll(b, l)
	return l.Addr().String()
}

// dialEcho connects a subscriber. It retries until the gateway has its endpoint list.
func dialEcho(b *testing.B, addr string, buf []byte) net.Conn {
	b.Helper()
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		_, err = io.WriteString(conn, "CONNECT {}\r\nSUB bench 1\r\nPING\r\n")
		in := ""
		for err == nil && !strings.HasSuffix(in, "PONG\r\n") {
			var n int
			n, err = conn.Read(buf)
			in += string(buf[:n])
		}
		if err == nil {
			return conn
		}
		if err := conn.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
