package world

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"tamarackspool/internal/soak/proxy"
)

// grace is the time an entry has to stop after the signal.
const grace = 6 * time.Second

// entry is one entry, whose process may end and be started again.
type entry struct {
	name, zone string
	store      *proxy.Proxy // store is the entry's own proxy to the store, so that faults can be limited to this entry.
	program    string
	seeds      func() []string
	flags      []string // flags are the flags beyond those that every entry gets.

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{} // exited is closed when the process has ended.
	call      string        // call, directory, peer and metrics are the listen addresses; empty until the process has logged them.
	directory string
	peer      string
	metrics   string
	lines     []string
	awaited   string // awaited is the text of the log line that pauseAt waits for; empty for none.
}

// maxLines is the number of log lines that are kept for each entry.
const maxLines = 20_000

var startedLine = regexp.MustCompile(`name=started .* call=(\S+) directory=(\S+) peer=(\S+) metrics=(\S+)`)

// start starts the process.
func (e *entry) start() error {
	flags := append([]string{
		"--name", e.name, "--zone", e.zone, "--region", zones[e.zone], "--zones", zoneList(),
		"--call", "127.0.0.1:0", "--ready", "127.0.0.1:0", "--directory", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--metrics", "127.0.0.1:0",
		"--store", e.store.Address(), "--grace", fmt.Sprint(grace.Seconds()), "--seeds", strings.Join(e.seeds(), ","),
	}, e.flags...)
	cmd := exec.Command(e.program, flags...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	// The kernel kills the process when the soak's process ends, also when that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("world: %s: %w", e.name, err)
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited, e.call, e.directory, e.peer, e.metrics = cmd, exited, "", "", "", ""
	e.mu.Unlock()
	go func() {
		defer close(exited)
		e.readLog(out)
		_ = cmd.Wait()
	}()
	return nil
}

// readLog keeps the log lines and reads the listen addresses from them.
func (e *entry) readLog(out io.Reader) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		e.mu.Lock()
		if m := startedLine.FindStringSubmatch(s.Text()); m != nil {
			e.call, e.directory, e.peer, e.metrics = m[1], m[2], m[3], m[4]
		}
		if len(e.lines) >= maxLines {
			e.lines = e.lines[maxLines/2:]
		}
		e.lines = append(e.lines, e.name+" "+s.Text())
		if e.awaited != "" && strings.Contains(s.Text(), e.awaited) {
			_ = e.cmd.Process.Signal(syscall.SIGSTOP)
			e.awaited = ""
		}
		e.mu.Unlock()
	}
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended.
func (e *entry) signal(s os.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
	return e.exited
}

// pauseAt freezes the process when it logs a line with the text.
func (e *entry) pauseAt(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.awaited = text
}

// continueProcess lets a process run that pauseAt has stopped, and ends the waiting for its line.
func (e *entry) continueProcess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.awaited = ""
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
}

// addresses returns the listen addresses of the running process; empty until it has logged them.
func (e *entry) addresses() (call, directory, peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.call, e.directory, e.peer
}

// grep returns the log lines that contain the text.
func (e *entry) grep(text string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	for _, l := range e.lines {
		if strings.Contains(l, text) {
			found = append(found, l)
		}
	}
	return found
}
