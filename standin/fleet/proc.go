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

// Proc is a process of the fleet. Its output is appended to a log file in the
// fleet's directory.
type Proc struct {
	Name     string
	LogFile  string
	cmd      *exec.Cmd
	done     chan struct{}
	killOnce sync.Once
}

func startProc(dir, name, bin string, args ...string) (*Proc, error) {
	p := &Proc{Name: name, LogFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(bin, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process when its parent ends, even if that is killed.
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Proc) Kill() {
	p.killOnce.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// Exited reports whether the process has exited.
func (p *Proc) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has exited and returns its exit status.
func (p *Proc) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// WaitExit waits up to d for the process to exit and reports whether it did.
func (p *Proc) WaitExit(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// randomLoopbackIP returns a loopback address for one fleet. On 127.0.0.1,
// fleets that run at the same time would take each other's ports, and so would
// outgoing connections, whose local ports are all on that address.
func randomLoopbackIP() string {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
}

// freeAddress returns an address with a free port on the fleet's IP address. It
// returns no address twice: the kernel may assign a closed port again, and two
// processes with the same port kept a deployment from starting.
func (f *Fleet) freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(f.loopbackIP, "0"))
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !f.usedAddresses[addr] {
			if f.usedAddresses == nil {
				f.usedAddresses = map[string]bool{}
			}
			f.usedAddresses[addr] = true
			return addr, nil
		}
	}
}
