package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client is a NATS client of the gateway.
type client struct {
	rec  *recorder
	user string
	c    net.Conn

	mu    sync.Mutex
	got   []message
	pongs int
	ended string // why the connection ended; empty while it is open
}

// connect connects a client and waits until the gateway has answered its PING, so that its session stands at a node.
func connect(rec *recorder, addr, user string) *client {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	must(err)
	c := &client{rec: rec, user: user, c: conn}
	c.send(fmt.Sprintf(`CONNECT {"verbose":false,"pedantic":false,"user":%q,"pass":"x","name":%q,"lang":"go","version":"1","protocol":1,"headers":true,"no_responders":true}`, user, user))
	go c.read()
	c.flush()
	return c
}

func (c *client) send(line string) { _, _ = c.c.Write([]byte(line + "\r\n")) }

// flush sends PING and waits for its PONG.
func (c *client) flush() {
	c.mu.Lock()
	want := c.pongs + 1
	c.mu.Unlock()
	c.send("PING")
	if !c.await(5*time.Second, func() bool { return c.pongs >= want }) {
		cannotRun("client %s: no PONG before the trouble began (%s)", c.user, c.ended)
	}
}

// await waits until a condition on the client's state holds.
func (c *client) await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		ok := condition()
		c.mu.Unlock()
		if ok || time.Now().After(end) {
			return ok
		}
	}
}

func (c *client) subscribe(subject, sid string) { c.send("SUB " + subject + " " + sid) }

func (c *client) publish(subject, reply, payload string) {
	if reply != "" {
		subject += " " + reply
	}
	c.send(fmt.Sprintf("PUB %s %d\r\n%s", subject, len(payload), payload))
}

func (c *client) messages() []message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]message(nil), c.got...)
}

func (c *client) end(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == "" {
		c.ended = reason
		c.rec.logf("client %s: connection ended: %s", c.user, reason)
	}
}

func (c *client) read() {
	r := bufio.NewReaderSize(c.c, 64<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			c.end(err.Error())
			return
		}
		op, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch op {
		case "PING":
			c.send("PONG")
		case "PONG":
			c.mu.Lock()
			c.pongs++
			c.mu.Unlock()
		case "MSG", "HMSG":
			m, ok := readDelivery(r, op, strings.Fields(rest))
			if !ok {
				c.end("malformed " + line)
				return
			}
			c.mu.Lock()
			c.got = append(c.got, m)
			c.mu.Unlock()
		case "-ERR":
			c.end(rest)
		}
	}
}

func readDelivery(r *bufio.Reader, op string, args []string) (m message, ok bool) {
	headers := 0
	if op == "HMSG" && len(args) >= 4 {
		headers, _ = strconv.Atoi(args[len(args)-2])
		args = append(args[:len(args)-2:len(args)-2], args[len(args)-1])
	}
	if len(args) < 3 {
		return m, false
	}
	size, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return m, false
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return m, false
	}
	m.subject, m.header, m.payload = args[0], body[:headers], body[headers:size]
	return m, true
}
