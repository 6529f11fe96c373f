package headflood_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a running program whose memory and descriptors are watched.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	// descriptors is the largest number of open descriptors that watch has seen, and withUnread the
	// largest sum of the resident memory and of the bytes that its sockets have received and it has
	// not read, in bytes.
	descriptors int
	withUnread  int64
	watched     chan struct{}
}

// start starts a program, which ends with the test, and waits until isReady. Standard output goes to
// out.
func start(t *testing.T, out io.Writer, isReady func() bool, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(program, args...), exited: make(chan struct{}), watched: make(chan struct{})}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.cmd.Stdout, p.cmd.Stderr = out, os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	go p.watch()
	t.Cleanup(p.kill)
	for !isReady() {
		select {
		case <-p.exited:
			t.Fatal("the process ended at its start")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return p
}

// kill ends the process and waits for the goroutines that watch it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	<-p.watched
}

func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// watch records descriptors and memory until the process ends.
func (p *process) watch() {
	defer close(p.watched)
	for {
		sockets := p.sockets()
		if resident, err := p.status("VmRSS:"); err == nil {
			p.withUnread = max(p.withUnread, resident+unreadBytes(sockets))
		}
		select {
		case <-p.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// sockets returns the inodes of the open sockets of the process and counts its descriptors.
func (p *process) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	p.descriptors = max(p.descriptors, len(entries))
	sockets := map[string]bool{}
	for _, entry := range entries {
		target, _ := os.Readlink(dir + "/" + entry.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets
}

// Columns of a line of /proc/net/tcp.
const (
	tcpStateColumn  = 3
	tcpQueuesColumn = 4
	tcpInodeColumn  = 9
	tcpListenState  = "0A"
)

// unreadBytes returns the bytes that sockets with the given inodes have received and not passed on.
func unreadBytes(sockets map[string]bool) int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	var sum int64
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= tcpInodeColumn || fields[tcpStateColumn] == tcpListenState || !sockets[fields[tcpInodeColumn]] {
			continue
		}
		_, received, _ := strings.Cut(fields[tcpQueuesColumn], ":")
		raw, err := hex.DecodeString(received)
		if err != nil {
			continue
		}
		var n int64
		for _, b := range raw {
			n = n<<8 | int64(b)
		}
		sum += n
	}
	return sum
}

// status returns a size in /proc/PID/status in bytes.
func (p *process) status(name string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte(name)); ok {
			kb, err := strconv.ParseInt(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))), 10, 64)
			return kb << 10, err
		}
	}
	return 0, os.ErrNotExist
}

// peakMemoryMb returns the largest resident size of the process so far.
func (p *process) peakMemoryMb() int {
	peak, err := p.status("VmHWM:")
	if err != nil {
		p.t.Fatal(err)
	}
	return int(peak >> 20)
}

// limits are the memory and the descriptors of a machine.
type limits struct{ memoryMb, descriptors int }

// checkAndKill ends the process and reports whether it lived until now and stayed within the limits.
func (p *process) checkAndKill(l limits) {
	p.t.Helper()
	if !p.lives() {
		p.t.Fatal("the process has ended")
	}
	peak := p.peakMemoryMb()
	p.kill()
	unread := int(p.withUnread >> 20)
	p.t.Logf("peak memory %d MB, with unread bytes %d MB, of %d; %d descriptors of %d", peak, unread, l.memoryMb, p.descriptors, l.descriptors)
	if peak = max(peak, unread); peak > l.memoryMb {
		p.t.Errorf("the process took %d MB, its machine has %d", peak, l.memoryMb)
	}
	if p.descriptors > l.descriptors {
		p.t.Errorf("the process had %d descriptors open, its machine has %d", p.descriptors, l.descriptors)
	}
}

// listenAndServe serves HTTP at an address until the test ends.
func listenAndServe(t *testing.T, addr string, h http.Handler) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
}
