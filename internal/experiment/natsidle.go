package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

const idleDuration = 3 * time.Second // from the last connect to the second measurement; the gateway still sends pings

// idleResult holds the resident memory of a gateway, in bytes, before and after idle sessions connected.
type idleResult struct {
	Sessions        int   `json:"sessions"`
	RSSBefore       int64 `json:"rss_before"`
	RSSAfter        int64 `json:"rss_after"`
	BytesPerSession int64 `json:"bytes_a_session"`
}

// natsIdleCommand returns the command that measures the memory of idle NATS sessions.
func natsIdleCommand() *cli.Command {
	return &cli.Command{
		Name: "nats-idle", Usage: "measure the memory that an idle NATS session takes in the gateway",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the result as one line of JSON"},
			&cli.IntFlag{Name: "sessions", Value: 2000, Usage: "number of clients, each with one subscription"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			result, err := measureIdle(c)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return writeJSON(c.Root().Writer, result)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%d idle sessions: %d bytes each\n", result.Sessions, result.BytesPerSession)
			return err
		},
	}
}

// measureIdle measures the memory of a gateway in another process, before and after idle sessions connect to it.
func measureIdle(c *cli.Command) (result idleResult, err error) {
	server, err := fakeserver.NewNATSEcho()
	if err != nil {
		return result, err
	}
	defer server.Close()
	gateway, err := startChild(c.Root().ErrWriter, "nats-gateway", "--cores", "1", "--to", server.Addr())
	if err != nil {
		return result, err
	}
	defer gateway.stop()
	result.Sessions = c.Int("sessions")
	pid := gateway.cmd.Process.Pid
	if result.RSSBefore, err = residentSetSize(pid); err != nil {
		return result, err
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			closeQuietly(conn)
		}
	}()
	for range result.Sessions {
		conn, _, err := dialNATS(gateway.addr)
		if err != nil {
			return result, err
		}
		conns = append(conns, conn)
	}
	time.Sleep(idleDuration)
	if result.RSSAfter, err = residentSetSize(pid); err != nil {
		return result, err
	}
	result.BytesPerSession = (result.RSSAfter - result.RSSBefore) / int64(result.Sessions)
	return result, nil
}

// residentSetSize returns the resident memory of a process in bytes.
func residentSetSize(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kilobytes << 10, err
	}
	return 0, fmt.Errorf("status of process %d has no VmRSS", pid)
}
