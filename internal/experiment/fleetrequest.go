package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	fleetRequestTimeout = 2 * time.Second
	fleetHoldDuration   = 200 * time.Millisecond // for which an established connection stays open
)

// requestOutcome records the outcome of a request.
type requestOutcome struct {
	sentAt        time.Duration // from the start of the load
	priority      int           // 0 is the highest
	accepted      bool          // a gateway received the whole request and did not lose power before its answer
	served        bool
	answeredTwice bool
	answer        string // empty if there was no answer
}

func (o *requestOutcome) rejected() bool { return strings.HasPrefix(o.answer, "BUSY") }

// send sends a request to a gateway. If the connection is established, it keeps it open for fleetHoldDuration and watches
// for a second answer.
func (o *requestOutcome) send(gatewayAddr, class, name string) {
	conn, err := net.DialTimeout("tcp", gatewayAddr, time.Second)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	if conn.SetDeadline(time.Now().Add(fleetRequestTimeout+500*time.Millisecond)) != nil {
		return
	}
	_, err = fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d\r\n", name, name, class, fleetRequestTimeout.Milliseconds())
	if err != nil {
		return
	}
	o.accepted = true
	r := bufio.NewReader(conn)
	if o.answer, err = r.ReadString('\n'); err != nil {
		// Connections to a gateway that loses power are reset. If a running gateway does not answer, it has lost the request.
		var netErr net.Error
		o.accepted = errors.As(err, &netErr) && netErr.Timeout()
		return
	}
	o.served = strings.HasPrefix(o.answer, "UP ")
	if conn.SetDeadline(time.Now().Add(fleetHoldDuration)) != nil {
		return
	}
	second, _ := r.ReadString('\n') // usually fails at the deadline
	o.answeredTwice = strings.HasPrefix(second, "UP ") || strings.HasPrefix(second, "BUSY")
}
