package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// settings are those of plan-norte (the settings line of the wire page, as nested JSON), without probes: the nodes of these
// tests speak NATS at their listed address, so that there is no line protocol to probe.
const settings = `{"replicas_of_me":1,"me":0,"my_zone":"santander","dcs":["oviedo","santander","bilbao"],
 "caps":{"connect_timeout_ns":1000000000,"max_attempts":5,"max_retry_after_ns":2000000000,"may_cancel":true,
  "probes":false,"retry_after":true,"second_copies":false},
 "classes":[
  {"name":"plan-diario","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"window_ns":5000000000,"stream":true,"worth":1.0},
  {"name":"serie-hecha","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":500000000,"window_ns":5000000000,"stream":true,"worth":1.0},
  {"name":"ajuste-plan","effect":"idempotent","group":"all","give_up_ns":3200000000,"slo_ns":800000000,"window_ns":5000000000,"stream":true,"worth":2.0},
  {"name":"informe-alta","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"window_ns":5000000000,"stream":true,"worth":2.0}],
 "clients":{"marks_retry":true},"discovery":"ask","family":"conn",
 "family_info":{"mode":"pass","park_ns":6449143000,"groups":true,"message_aim_ns":[60000000,100000000,250000000,60000000]},
 "rules":{"ask_within_ns":10000000000,"cold_ns":21000000000,"fall_ns":1000000000,"grace_to_answer_ns":16000000,
  "start_capacity":0.16,"stop_sending_within_ns":500000000,"tip_multiple":4.0}}`

// balancer is one process of the project's program, started by the run line of the deploy file.
type balancer struct {
	rec      *recorder
	root     string // of the repository
	dir      string // temporary folder of the test
	operator string // section nats of the operator file, without the listen key; empty: there is no operator file
	name     string
	line     string // address of the line protocol
	nats     string // address for NATS clients
	disc     *discovery
	known    *memberList // the list that the balancer is started with; nil: discovery's

	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// runLine returns the command of the run line of deploy/balancer.toml.
func runLine(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindStringSubmatch(string(text))
	if m == nil {
		cannotRun("deploy/balancer.toml has no run line")
	}
	return m[1]
}

// start starts the balancer and waits until it answers PING with PONG, as the front does. Further starts keep the name and
// the addresses.
func (b *balancer) start() {
	if b.line == "" {
		b.line, b.nats = freeAddress(), freeAddress()
	}
	b.starts++
	list := b.disc.list()
	if b.known != nil {
		list = *b.known
	}
	known, err := json.Marshal(list)
	must(err)
	conf := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		b.name, b.line, b.disc.addr, 0x8c1f30d2+b.starts, known, settings)
	confFile := filepath.Join(b.dir, "config.json")
	must(os.WriteFile(confFile, []byte(conf), 0o600))
	operatorFile := "" // none
	if b.operator != "" {
		operatorFile = filepath.Join(b.dir, "operator.edn")
		must(os.WriteFile(operatorFile, fmt.Appendf(nil, "(nats (listen %q)\n%s)\n", b.nats, b.operator), 0o600))
	}
	tmp, err := os.MkdirTemp(b.dir, "tmp") // empty at each start
	must(err)
	log, err := os.OpenFile(filepath.Join(b.dir, "balancer.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", runLine(b.root))
	cmd.Dir = b.root
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "TMPDIR=" + tmp, "PROXY_NAME=" + b.name, "PROXY_LISTEN=" + b.line,
		"PROXY_DISCOVERY=" + b.disc.addr, "PROXY_CONFIG=" + confFile, "MILLETVANE_OPERATOR=" + operatorFile,
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	b.cmd, b.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	b.rec.logf("balancer %s: started, start %d", b.name, b.starts)
	b.awaitReady()
	b.rec.logf("balancer %s: ready", b.name)
}

func (b *balancer) awaitReady() {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-b.exited:
			cannotRun("the balancer ended at its start: %s", b.log())
		default:
		}
		if answersPing(b.line) {
			return
		}
	}
	cannotRun("the balancer is not ready after 30 s: %s", b.log())
}

func answersPing(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "PONG\r\n"
}

// kill ends the process outright.
func (b *balancer) kill() {
	if b.cmd == nil {
		return
	}
	_ = b.cmd.Process.Kill()
	<-b.exited
	b.cmd = nil
	b.rec.logf("balancer %s: killed", b.name)
}

// log returns the balancer's log.
func (b *balancer) log() string {
	text, _ := os.ReadFile(filepath.Join(b.dir, "balancer.log"))
	return strings.TrimSpace(string(text))
}
