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

// stopProcess is a process of the program under test.
type stopProcess struct {
	name     string
	cmd      *exec.Cmd
	recorder *stopRecorder
	admin    string        // address of the operators' calls
	exited   chan struct{} // closed when it has ended
	err      error         // valid then
	logs     sync.WaitGroup
}

// stopProcessConfig is what a process is started with.
type stopProcessConfig struct {
	program, configFile, tempDir, admin string
	listener                            *os.File // inherited; nil: it listens itself
	extraFiles                          int      // further descriptors that it inherits
}

func startStopProcess(name string, c stopProcessConfig, recorder *stopRecorder) (*stopProcess, error) {
	p := &stopProcess{name: name, recorder: recorder, admin: c.admin, exited: make(chan struct{})}
	p.cmd = exec.Command(c.program)
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+c.configFile, "TMPDIR="+c.tempDir, "PROXY_ADMIN_ADDR="+c.admin)
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
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.logs.Go(func() { p.readLog(errs) })
	go func() {
		defer close(p.exited)
		p.logs.Wait()
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

// closeFileQuietly closes a file that was only read.
func closeFileQuietly(f *os.File) { _ = f.Close() }

// readLog notes what the process logs. A crash of its runtime is a violation whatever the exit code.
func (p *stopProcess) readLog(errs io.Reader) {
	for lines := bufio.NewScanner(errs); lines.Scan(); {
		line := lines.Text()
		p.recorder.note("%s: %s", p.name, line)
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			p.recorder.violate(uncleanExit, "%s: %s", p.name, line)
		}
	}
}

func (p *stopProcess) signal(s syscall.Signal) {
	p.recorder.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

func (p *stopProcess) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process as the platform does, if it still runs, and waits for it.
func (p *stopProcess) kill() {
	if p.hasExited() {
		return
	}
	p.recorder.note("%s is killed", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// checkExit looks whether a process that has ended by itself did so in order.
func (p *stopProcess) checkExit() {
	if p.hasExited() && p.err != nil {
		p.recorder.violate(uncleanExit, "%s ended with %v", p.name, p.err)
	}
}

// descriptors is how many descriptors the process has; 0 once it has ended.
func (p *stopProcess) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// awaitReady waits until the process says that it can serve, and reports whether that was in time.
func (p *stopProcess) awaitReady(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !p.isReady(ctx) {
		select {
		case <-ctx.Done():
			p.recorder.violate(notReadyInTime, "%s is not ready after %v", p.name, limit)
			return false
		case <-p.exited:
			p.recorder.violate(uncleanExit, "%s ended before it was ready: %v", p.name, p.err)
			return false
		case <-time.After(readyPollInterval):
		}
	}
	p.recorder.note("%s is ready", p.name)
	return true
}

func (p *stopProcess) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.admin+"/-/ready", nil)
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

// listenerFile returns a listening socket's file, for processes that inherit it.
func listenerFile(l net.Listener) (*os.File, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("%T has no file", l)
	}
	return tcp.File()
}
