package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const descriptorSampleInterval = 2 * time.Millisecond

// stopProcess is a running process of the program under test.
type stopProcess struct {
	name      string
	cmd       *exec.Cmd
	recorder  *stopRecorder
	adminAddr string        // address of the admin interface
	exited    chan struct{} // closed when the process has exited
	err       error         // of cmd.Wait; valid after exited is closed
	logReader sync.WaitGroup
}

// stopProcessConfig holds the parameters with which a process is started.
type stopProcessConfig struct {
	program, configFile, tempDir, adminAddr string
	listener                                *os.File // inherited listening socket; nil means that the process opens its own
	extraFiles                              int      // number of further descriptors that the process inherits
}

func startStopProcess(name string, c stopProcessConfig, recorder *stopRecorder) (*stopProcess, error) {
	p := &stopProcess{name: name, recorder: recorder, adminAddr: c.adminAddr, exited: make(chan struct{})}
	p.cmd = exec.Command(c.program)
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+c.configFile, "TMPDIR="+c.tempDir, "PROXY_ADMIN_ADDR="+c.adminAddr)
	if c.listener != nil {
		p.cmd.ExtraFiles = append(p.cmd.ExtraFiles, c.listener)
		p.cmd.Env = append(p.cmd.Env, "PROXY_PASSED_SOCKET=3")
	}
	null, err := os.Open(os.DevNull)
	if err != nil {
		return nil, err
	}
	defer closeFileQuietly(null)
	for range c.extraFiles {
		p.cmd.ExtraFiles = append(p.cmd.ExtraFiles, null)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.logReader.Go(func() { p.readLog(stderr) })
	go func() {
		defer close(p.exited)
		p.logReader.Wait()
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

// closeFileQuietly closes a file that was only read, so that an error has no consequence.
func closeFileQuietly(f *os.File) { _ = f.Close() }

// readLog copies the log of the process to the trace. A panic, a fatal error of the Go runtime or a data race is a
// violation, whatever the exit code.
func (p *stopProcess) readLog(stderr io.Reader) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		line := lines.Text()
		p.recorder.traceEvent("%s: %s", p.name, line)
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			p.recorder.recordViolation(uncleanExit, "%s: %s", p.name, line)
		}
	}
}

func (p *stopProcess) signal(s syscall.Signal) {
	p.recorder.traceEvent("signal to %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // fails if the process has exited
}

func (p *stopProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill kills the process as the platform does, if it still runs, and waits until it has exited.
func (p *stopProcess) kill() {
	if p.hasExited() {
		return
	}
	p.recorder.traceEvent("%s is killed", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// checkExit records a violation if the process has exited with an error.
func (p *stopProcess) checkExit() {
	if p.hasExited() && p.err != nil {
		p.recorder.recordViolation(uncleanExit, "%s exited with %v", p.name, p.err)
	}
}

// descriptorCount returns the number of open descriptors of the process, or 0 once it has exited.
func (p *stopProcess) descriptorCount() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// awaitReady waits until the process reports that it is ready. It returns false, and records a violation, if that takes
// longer than limit or the process exits.
func (p *stopProcess) awaitReady(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !p.isReady(ctx) {
		select {
		case <-ctx.Done():
			p.recorder.recordViolation(notReadyInTime, "%s was not ready within %v", p.name, limit)
			return false
		case <-p.exited:
			p.recorder.recordViolation(uncleanExit, "%s exited before it was ready: %v", p.name, p.err)
			return false
		case <-time.After(readyPollInterval):
		}
	}
	p.recorder.traceEvent("%s is ready", p.name)
	return true
}

func (p *stopProcess) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.adminAddr+"/-/ready", nil)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode == http.StatusOK
}

// listenerFile returns the file of a TCP listener's socket, for processes that inherit it.
func listenerFile(l net.Listener) (*os.File, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener of type %T is not a TCP listener", l)
	}
	return tcp.File()
}
