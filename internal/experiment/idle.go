package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

// idleResult is what sessions that do nothing cost a gateway.
type idleResult struct {
	Sessions int   `json:"sessions"`
	Before   int64 `json:"rss_before"`
	After    int64 `json:"rss_after"`
	Each     int64 `json:"bytes_a_session"`
}

func natsIdle() *cli.Command {
	return &cli.Command{
		Name: "nats-idle", Usage: "measure what an idle NATS session costs the gateway in memory",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "a row of JSON"},
			&cli.IntFlag{Name: "sessions", Value: 2000, Usage: "clients, each with one subscription"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := fakeserver.NewNATSEcho()
			if err != nil {
				return err
			}
			defer s.Close()
			gate, err := startChild(c.Root().ErrWriter, "nats-gateway", "--cores", "1", "--to", s.Addr())
			if err != nil {
				return err
			}
			defer gate.stop()
			r := idleResult{Sessions: c.Int("sessions")}
			if r.Before, err = residentSet(gate.cmd.Process.Pid); err != nil {
				return err
			}
			var conns []net.Conn
			defer func() {
				for _, c := range conns {
					c.Close()
				}
			}()
			for range r.Sessions {
				nc, _, err := natsConnect(gate.addr)
				if err != nil {
					return err
				}
				conns = append(conns, nc)
			}
			time.Sleep(3 * time.Second) // pings go on meanwhile
			if r.After, err = residentSet(gate.cmd.Process.Pid); err != nil {
				return err
			}
			r.Each = (r.After - r.Before) / int64(r.Sessions)
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(r)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%d idle sessions: %d bytes each\n", r.Sessions, r.Each)
			return err
		},
	}
}

// residentSet is a process's memory in bytes.
func residentSet(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("no VmRSS of %d", pid)
}
