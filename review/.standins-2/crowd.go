package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crowdSize     = 4000 // connections, "thousands"
	crowdCallers  = 40   // at once
	crowdSpan     = 20 * time.Second
	discoveryDown = 5 * time.Second
	startLimit    = 30 * time.Second // within which a balancer has to be ready
	stopLimit     = 20 * time.Second
	halfCommand   = `CONNECT {"verbose":fal`

	crowdOperator = `(cluster true)
 (session (class "serie-hecha") (key user) (wait "2s"))`
)

// clusterSection is the section of an operator file for a gateway that recovers with two others, which are not up.
func (s *scene) clusterSection() (string, error) {
	var addrs [3]string
	for i := range addrs {
		var err error
		if addrs[i], err = freeAddress(); err != nil {
			return "", err
		}
	}
	if err := os.WriteFile(s.path("cluster.key"), []byte("0123456789abcdef"), 0o600); err != nil {
		return "", err
	}
	return fmt.Sprintf("(cluster (listen %q) (member \"n2\" %q) (member \"n3\" %q) (key-file %q) (dir %q))",
		addrs[0], addrs[1], addrs[2], s.path("cluster.key"), s.path("disk")), nil
}

// playCrowdedStart restarts a balancer while discovery is down for some seconds, in a crowd: thousands connect, send half a
// command and go. Once they are gone and discovery is back the balancer has to be ready.
func playCrowdedStart(s *scene) ([]string, error) {
	if _, err := s.startNodes(3, nil); err != nil {
		return nil, err
	}
	section, err := s.clusterSection()
	if err != nil {
		return nil, err
	}
	if err := s.writeFiles(crowdOperator, section); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	if err := s.stopBalancer(); err != nil {
		return nil, err
	}
	var crowd sync.WaitGroup
	begun := time.Now()
	if s.trouble {
		s.discovery.setDown(true)
		time.AfterFunc(discoveryDown, func() { s.discovery.setDown(false) })
		crowd.Go(s.crowd)
	}
	if err := s.startProcess(); err != nil {
		return nil, err
	}
	crowd.Wait()
	for time.Since(begun) < startLimit {
		if s.isReady() {
			s.record.printf("ready %v after the start", time.Since(begun).Round(time.Millisecond))
			c, err := s.connect("ward1")
			if err != nil {
				return []string{fmt.Sprintf("ready, but a client is not served: %v", err)}, nil
			}
			return nil, c.flush()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return []string{fmt.Sprintf("the balancer runs and is not ready %v after its start", startLimit)}, nil
}

// stopBalancer ends the balancer as a planned restart does.
func (s *scene) stopBalancer() error {
	s.record.printf("SIGTERM to process %d", s.balancer.Process.Pid)
	_ = s.balancer.Process.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.balancer.Wait()
	}()
	select {
	case <-done:
		s.balancer = nil
		return nil
	case <-time.After(stopLimit):
		return errors.New("the balancer did not end after SIGTERM")
	}
}

// crowd connects clients that send half a command and go.
func (s *scene) crowd() {
	var made atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(crowdSpan)
	for range crowdCallers {
		callers.Go(func() {
			for time.Now().Before(end) && made.Load() < crowdSize {
				socket, err := net.DialTimeout("tcp", s.natsAddr, time.Second)
				if err != nil {
					time.Sleep(pollInterval)
					continue
				}
				made.Add(1)
				_, _ = socket.Write([]byte(halfCommand))
				time.Sleep(pollInterval)
				_ = socket.Close()
			}
		})
	}
	callers.Wait()
	s.record.printf("the crowd is gone: %d connections were made", made.Load())
}
