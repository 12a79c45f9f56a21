package experiment

import (
	"context"
	"fmt"
	"net"
	"runtime"

	"github.com/urfave/cli/v3"
)

// plainProxy is the yardstick: a read and a write loop each way, and nothing else.
func plainProxy() *cli.Command {
	return &cli.Command{
		Name: "plain-proxy", Hidden: true, Usage: "the plainest proxy, which benchmarks start",
		Flags: []cli.Flag{&cli.IntFlag{Name: "cores", Value: 1}, &cli.StringFlag{Name: "to", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			if err := pin(cpuList(0, c.Int("cores"))...); err != nil {
				return err
			}
			runtime.GOMAXPROCS(c.Int("cores"))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, l.Addr())
			for {
				a, err := l.Accept()
				if err != nil {
					return err
				}
				go func() {
					b, err := net.Dial("tcp", c.String("to"))
					if err != nil {
						a.Close()
						return
					}
					go pass(a, b)
					pass(b, a)
				}()
			}
		},
	}
}

// pass copies from one connection to the other. It reads and writes by itself, as io.Copy would have the kernel splice.
func pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
