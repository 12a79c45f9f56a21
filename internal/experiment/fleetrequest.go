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
	fleetHoldDuration   = 200 * time.Millisecond // for which an established connection stays
)

// requestOutcome is what became of a request.
type requestOutcome struct {
	sentAt        time.Duration // from the start of the load
	priority      int           // 0 is the highest
	accepted      bool          // a gateway had all of the request
	served        bool
	answeredTwice bool
	answer        string // empty: none
}

func (o *requestOutcome) rejected() bool { return strings.HasPrefix(o.answer, "BUSY") }

// send opens a connection through a gateway, holds it for a while once it is established, and watches for a second
// answer meanwhile.
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
		// A gateway that lost power resets what it accepted; one that runs and does not answer has lost it.
		var netErr net.Error
		o.accepted = errors.As(err, &netErr) && netErr.Timeout()
		return
	}
	o.served = strings.HasPrefix(o.answer, "UP ")
	if conn.SetDeadline(time.Now().Add(fleetHoldDuration)) != nil {
		return
	}
	second, _ := r.ReadString('\n') // ends with the deadline, as a rule
	o.answeredTwice = strings.HasPrefix(second, "UP ") || strings.HasPrefix(second, "BUSY")
}
