package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Proc is a process of the fleet. Its output goes to a log file in the fleet's
// folder.
type Proc struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	done    chan struct{}
	once    sync.Once
}

func start(dir, name, bin string, args ...string) (*Proc, error) {
	p := &Proc{Name: name, LogFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(bin, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The processes end with their parent, also when it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits until it is gone.
func (p *Proc) Kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// Exited reports whether the process is gone.
func (p *Proc) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode returns the exit status of a process that is gone.
func (p *Proc) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// WaitExit waits up to d for the process to end, and reports whether it did.
func (p *Proc) WaitExit(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// ownIP returns a loopback address for one fleet. Two fleets at a time would
// take each other's ports on 127.0.0.1, and so would outgoing connections, which
// all start there.
func ownIP() string {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
}

// freeAddress returns an address of the fleet whose port is free. The kernel may
// give a port again that was closed before, so ports in use by the fleet are
// remembered: two processes with one port kept a deployment from starting.
func (f *Fleet) freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(f.ip, "0"))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !f.given[addr] {
			if f.given == nil {
				f.given = map[string]bool{}
			}
			f.given[addr] = true
			return addr, nil
		}
	}
}
