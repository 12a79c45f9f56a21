package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	memoryMB     = 192
	sockets      = 1024
)

// scene holds what all cases share: the record, discovery, the nodes and the balancer's process.
type scene struct {
	record    *record
	trouble   bool // false: the run is without the disruption
	root      string
	command   string // the run line of the deploy file
	dir       string // temporary folder
	discovery *discovery
	nodes     *cluster

	adminAddr, lineAddr, natsAddr string
	balancer                      *exec.Cmd
	settings                      string
	plain                         bool   // clients that connect now know no headers
	account                       string // user of the clients that connect now; empty: each has its own
	starts                        int
}

func newScene() (*scene, error) {
	s := &scene{
		trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("CASE_ROOT"),
		command: os.Getenv("CASE_RUN"), dir: os.Getenv("CASE_TEMP"), settings: settings,
	}
	if s.root == "" || s.command == "" || s.dir == "" || os.Getenv("CASE_RECORD") == "" {
		return nil, errors.New("CASE_ROOT, CASE_RUN, CASE_TEMP and CASE_RECORD have to be set")
	}
	var err error
	if s.record, err = newRecord(os.Getenv("CASE_RECORD")); err != nil {
		return nil, err
	}
	if s.discovery, err = startDiscovery(s.record); err != nil {
		return nil, err
	}
	s.nodes = &cluster{record: s.record}
	for _, addr := range []*string{&s.adminAddr, &s.lineAddr, &s.natsAddr} {
		if *addr, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	s.record.printf("start, trouble=%t", s.trouble)
	return s, nil
}

// Ports below those that the system gives to connections, so that none takes the balancer's port while it restarts.
const (
	firstPort    = 15000
	lastPort     = 31000
	portAttempts = 200
)

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

func (s *scene) close() {
	s.killBalancer()
	s.nodes.close()
	s.discovery.close()
	s.record.close()
}

// settings are those of the site plan-norte, as its first message gives them. Load probes are off: NATS nodes know none.
const settings = `{"init_seed":5138197539985895,
 "caps":{"conn_idle_ns":5000000000,"connect_timeout_ns":60000000,"cpu_us_per_s":8000,"max_attempts":5,"max_open":1000000,
  "max_retry_after_ns":2000000000,"may_cancel":true,"peer_messages":false,"probes":false,"retry_after":true,
  "second_copies":false,"streams_per_conn":1048576},
 "classes":[
  {"name":"plan-diario","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"stream":true,"window_ns":5000000000,"worth":1},
  {"name":"serie-hecha","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":500000000,"stream":true,"window_ns":5000000000,"worth":1},
  {"name":"ajuste-plan","effect":"idempotent","group":"all","give_up_ns":3200000000,"slo_ns":800000000,"stream":true,"window_ns":5000000000,"worth":2},
  {"name":"informe-alta","effect":"idempotent","group":"all","give_up_ns":4800000000,"slo_ns":800000000,"stream":true,"window_ns":5000000000,"worth":2}],
 "clients":{"marks_retry":true},"dcs":["oviedo","santander","bilbao"],"my_zone":"santander","discovery":"ask","family":"conn",
 "family_info":{"groups":true,"mode":"pass","park_ns":6449143000,"message_aim_ns":[60000000,100000000,250000000,60000000]},
 "me":0,"replicas_of_me":3,"reporting":{"how":"none"},
 "rules":{"ask_within_ns":10000000000,"cold_ns":21000000000,"fall_ns":1000000000,"grace_to_answer_ns":16000000,
  "start_capacity":0.16,"stop_sending_within_ns":500000000,"tip_multiple":4},
 "weights":"nominal","worth_by":"request"}`

// writeFiles writes the configuration and the operator file. operator is the text of the section nats behind its address, more
// are further sections.
func (s *scene) writeFiles(operator string, more ...string) error {
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.lineAddr, "discovery": s.discovery.addr(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    s.discovery.list(),
		"settings": json.RawMessage(s.settings),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path("config.json"), config, 0o600); err != nil {
		return err
	}
	text := fmt.Sprintf("(nats (listen %q)\n%s)\n%s\n", s.natsAddr, operator, strings.Join(more, "\n"))
	s.record.printf("operator file: %s", text)
	return os.WriteFile(s.path("operator.edn"), []byte(text), 0o600)
}

func (s *scene) path(name string) string { return filepath.Join(s.dir, name) }

// startBalancer starts the balancer by the run line of the deploy file and waits until it is ready.
func (s *scene) startBalancer() error {
	if err := s.startProcess(); err != nil {
		return err
	}
	return s.awaitReady()
}

// startProcess starts the balancer and does not wait.
func (s *scene) startProcess() error {
	s.starts++
	temp := s.path(fmt.Sprint("tmp", s.starts)) // empty at each start
	if err := os.Mkdir(temp, 0o700); err != nil {
		return err
	}
	log, err := os.Create(s.path(fmt.Sprintf("balancer%d.log", s.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("/bin/sh", "-c", s.command)
	c.Dir, c.Stdout, c.Stderr = s.root, log, log
	c.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+s.lineAddr, "PROXY_DISCOVERY="+s.discovery.addr(),
		"PROXY_CONFIG="+s.path("config.json"), "PROXY_ADMIN_ADDR="+s.adminAddr,
		"MILLETVANE_OPERATOR="+s.path("operator.edn"), "TMPDIR="+temp)
	if err := c.Start(); err != nil {
		return err
	}
	s.balancer = c
	s.record.printf("balancer started, process %d", c.Process.Pid)
	return nil
}

// isReady asks the balancer whether it is ready.
func (s *scene) isReady() bool {
	operator := http.Client{Timeout: time.Second}
	response, err := operator.Get("http://" + s.adminAddr + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *scene) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if s.isReady() {
			s.record.printf("balancer ready")
			return nil
		}
	}
	return errors.New("the balancer was not ready in time")
}

// killBalancer kills the balancer outright.
func (s *scene) killBalancer() {
	if s.balancer == nil {
		return
	}
	_ = s.balancer.Process.Kill()
	_ = s.balancer.Wait()
	s.record.printf("balancer killed, process %d", s.balancer.Process.Pid)
	s.balancer = nil
}
