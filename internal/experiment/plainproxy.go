package experiment

import (
	"context"
	"fmt"
	"net"
	"runtime"

	"github.com/urfave/cli/v3"
)

const proxyBufferBytes = 32 << 10 // for each direction of a connection

// plainProxyCommand returns the command that runs the baseline of the benchmarks: a proxy that only copies bytes, with a loop
// of reads and writes for each direction.
func plainProxyCommand() *cli.Command {
	return &cli.Command{
		Name: "plain-proxy", Hidden: true, Usage: "run a plain proxy; started by benchmarks",
		Flags:  pinnedChildFlags(),
		Action: runPlainProxy,
	}
}

// runPlainProxy prints the address of the proxy and then proxies connections until the process is killed.
func runPlainProxy(_ context.Context, c *cli.Command) error {
	cores := c.Int("cores")
	if err := pinToCPUs(cpuRange(0, cores)...); err != nil {
		return err
	}
	runtime.GOMAXPROCS(cores)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, listener.Addr()); err != nil {
		return err
	}
	for {
		client, err := listener.Accept()
		if err != nil {
			return err
		}
		go proxyConnection(client, c.String("to")) // until the process is killed
	}
}

// proxyConnection connects a client to the server, and returns when the server's data ends or the connection fails.
func proxyConnection(client net.Conn, serverAddr string) {
	server, err := net.Dial("tcp", serverAddr)
	if err != nil {
		closeQuietly(client)
		return
	}
	go copyConn(server, client)
	copyConn(client, server)
}

// copyConn copies data from one connection to the other until either ends, and closes both. It does not use io.Copy, because
// io.Copy would let the kernel splice the connections.
func copyConn(to, from net.Conn) {
	defer closeQuietly(from)
	defer closeQuietly(to)
	buf := make([]byte, proxyBufferBytes)
	for {
		n, readErr := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}
