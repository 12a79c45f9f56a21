package experiment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const processReadyTimeout = 20 * time.Second

// fleetProcess is an instance of the program under test. Its methods may be called from several goroutines.
type fleetProcess struct {
	name, listen, dir string
	program           string
	env               []string
	log               *os.File

	mu  sync.Mutex
	cmd *exec.Cmd // nil before the first start
}

func (p *fleetProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.program)
	p.cmd.Env, p.cmd.Stderr = p.env, p.log
	return p.cmd.Start()
}

// awaitReady waits until the process is ready, at most processReadyTimeout.
func (p *fleetProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, processReadyTimeout)
	defer cancel()
	if err := awaitReady(ctx, p.listen); err != nil {
		return fmt.Errorf("%s is not ready: %w", p.name, err)
	}
	return nil
}

// pause suspends the process until resume is called.
func (p *fleetProcess) pause() error { return p.signal(syscall.SIGSTOP) }

func (p *fleetProcess) resume() error { return p.signal(syscall.SIGCONT) }

func (p *fleetProcess) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.started() {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// kill kills the process, as a power loss would end it, and waits until it has exited.
func (p *fleetProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.started() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait() // always an error, because the process was killed
	}
}

func (p *fleetProcess) started() bool { return p.cmd != nil && p.cmd.Process != nil }

func (p *fleetProcess) restart() error {
	p.kill()
	return p.start()
}
