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

// grace is the time that an entry has between the signal to stop and its end.
const grace = 6 * time.Second

// entry is an entry's place: its process may end and start again.
type entry struct {
	name, zone string
	store      *proxy.Proxy // store is the way to the store, which can be spoiled for this entry alone.
	program    string
	seeds      func() []string
	flags      []string // flags are given beside those that every entry gets.

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	call      string
	directory string
	peer      string
	metrics   string
	lines     []string
}

// maxLines is the number of log lines that are kept of an entry.
const maxLines = 20_000

var started = regexp.MustCompile(`name=started .* call=(\S+) directory=(\S+) peer=(\S+) metrics=(\S+)`)

// start starts the process.
func (e *entry) start() error {
	flags := append([]string{
		"--name", e.name, "--zone", e.zone, "--region", zones[e.zone], "--zones", zoneList(),
		"--call", "127.0.0.1:0", "--ready", "127.0.0.1:0", "--directory", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--metrics", "127.0.0.1:0",
		"--store", e.store.Address(), "--grace", fmt.Sprint(grace.Seconds()), "--seeds", strings.Join(e.seeds(), ","),
	}, e.flags...)
	cmd := exec.Command(e.program, flags...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	// The process ends with this one, also when this one is killed.
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
		e.read(out)
		_ = cmd.Wait()
	}()
	return nil
}

// read keeps the log lines and learns the addresses.
func (e *entry) read(out io.Reader) {
	s := bufio.NewScanner(out)
	for s.Scan() {
		e.mu.Lock()
		if m := started.FindStringSubmatch(s.Text()); m != nil {
			e.call, e.directory, e.peer, e.metrics = m[1], m[2], m[3], m[4]
		}
		if len(e.lines) >= maxLines {
			e.lines = e.lines[maxLines/2:]
		}
		e.lines = append(e.lines, e.name+" "+s.Text())
		e.mu.Unlock()
	}
}

// signal sends a signal to the process and returns what is closed at its end.
func (e *entry) signal(s os.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.cmd.Process.Signal(s)
	return e.exited
}

// addresses returns where the running process listens; empty until it has said so.
func (e *entry) addresses() (call, directory, peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.call, e.directory, e.peer
}

// grep returns the log lines that hold the text.
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
