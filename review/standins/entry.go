//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployment whose settings the cases use.
const (
	stableWindow = 4 * time.Second
	drainTime    = 2500 * time.Millisecond
	configApply  = 2500 * time.Millisecond
	graceTime    = 6 * time.Second
	lookupTTL    = 2 * time.Second
)

var zoneRegions = []struct{ zone, region string }{
	{"marmara-a", "marmara"},
	{"ege-a", "ege"},
	{"anadolu-a", "anadolu"},
	{"marmara-b", "marmara"},
	{"ege-b", "ege"},
	{"anadolu-b", "anadolu"},
}

func regionOf(zone string) string {
	for _, z := range zoneRegions {
		if z.zone == zone {
			return z.region
		}
	}
	panic("unknown zone " + zone)
}

// entry is one machine of the system with the process of the deploy file on it.
type entry struct {
	name, zone                           string
	call, ready, directory, peer, metric string
	store                                string
	env                                  []string
	log                                  *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	troubles []time.Time // troubles holds the times of signals, starts and ends of the process.
}

// lowPort and highPort bound the ports of the entries; they lie below those that the kernel gives to outgoing connections.
const lowPort, highPort = 20000, 32000

var usedPorts = make(map[int]bool)

var errNoPort = errors.New("no free port was found")

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range 1000 {
		port := lowPort + rand.IntN(highPort-lowPort)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		return l.Addr().String(), l.Close()
	}
	return "", errNoPort
}

// newEntry prepares a machine; its process is started by start.
func newEntry(s *store, name, zone, dir string) (*entry, error) {
	e := &entry{name: name, zone: zone}
	var err error
	for _, a := range []*string{&e.call, &e.ready, &e.directory, &e.peer, &e.metric} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if e.store, err = s.listen(name); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(dir, name+".log"))
	return e, err
}

// configureEntries gives each machine the environment that deploy/system.toml describes.
func configureEntries(entries []*entry) {
	var seeds, zones []string
	for i, e := range entries {
		if i%max(1, len(entries)/3) == 0 && len(seeds) < 3 {
			seeds = append(seeds, e.peer)
		}
	}
	for _, z := range zoneRegions {
		zones = append(zones, z.zone+"="+z.region)
	}
	for _, e := range entries {
		e.env = []string{
			"TAMARACK_NAME=" + e.name, "TAMARACK_ZONE=" + e.zone, "TAMARACK_REGION=" + regionOf(e.zone),
			"TAMARACK_ZONES=" + strings.Join(zones, ","), "TAMARACK_CALL=" + e.call, "TAMARACK_READY=" + e.ready,
			"TAMARACK_DIRECTORY=" + e.directory, "TAMARACK_PEER=" + e.peer, "TAMARACK_SEEDS=" + strings.Join(seeds, ","),
			"TAMARACK_STORE=" + e.store, fmt.Sprintf("TAMARACK_GRACE=%g", graceTime.Seconds()), "TAMARACK_REPEAT_RATIO=0.2",
			"TAMARACK_REPEAT_SPAN=10", "TAMARACK_LINK=1000", "TAMARACK_CORES=0.32", "TAMARACK_METRICS=" + e.metric, "TAMARACK_MEMORY=284",
		}
		for _, name := range []string{"PATH", "HOME", "LANG"} {
			if v, ok := os.LookupEnv(name); ok {
				e.env = append(e.env, name+"="+v)
			}
		}
	}
}

// program is the command of the deploy file, run in the repository's root.
const program = "target/tamarackedge"

// start starts the process.
func (e *entry) start() error {
	cmd := exec.Command(program)
	cmd.Env, cmd.Stdout, cmd.Stderr = e.env, e.log, e.log
	// The process ends with this one, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.troubles = append(e.troubles, time.Now())
	e.mu.Unlock()
	go func() {
		defer close(exited)
		_ = cmd.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.troubles = append(e.troubles, time.Now())
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended.
func (e *entry) signal(s os.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.troubles = append(e.troubles, time.Now())
	if e.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = e.cmd.Process.Signal(s)
	return e.exited
}

// inTouch reports whether the machine was without disturbance for stableWindow before the time.
func (e *entry) inTouch(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.troubles {
		if t.Before(at) && at.Sub(t) < stableWindow {
			return false
		}
	}
	return true
}

var errNotReady = errors.New("an entry is not ready within 10 s")

// awaitReady waits until the readiness check is answered with 200.
func (e *entry) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", e.name, errNotReady)
}
