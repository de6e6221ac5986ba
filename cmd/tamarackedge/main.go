package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"tamarackspool/internal/entry/edge"
	"tamarackspool/internal/record/event"
	"tamarackspool/internal/record/traffic"
	"tamarackspool/internal/request/upstream"
	"tamarackspool/platform"
)

// The exit statuses.
const (
	exitDone     = 0
	exitInternal = 1
	exitUsage    = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs the entry and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	parser, err := kong.New(&f,
		kong.Name("tamarackedge"),
		kong.Description("One entry of tamarackspool on the users' platform."),
		kong.DefaultEnvars("TAMARACK"),
		kong.Writers(stdout, stderr),
	)
	if err == nil {
		_, err = parser.Parse(args)
	}
	var s edge.Settings
	if err == nil {
		s, err = f.settings()
	}
	var level event.Level
	if err == nil {
		level, err = event.ParseLevel(f.Log)
	}
	if err != nil {
		fmt.Fprintln(stderr, "tamarackedge:", err)
		return exitUsage
	}
	debug.SetGCPercent(f.GC)
	debug.SetMemoryLimit(s.MemoryLimit * 6 / 10)
	logWriter := event.NewAsyncWriter(stdout, f.LogRoom, f.LogRate)
	defer flush(logWriter)
	events := event.New(log.With(log.NewLogfmtLogger(logWriter), "at", log.DefaultTimestampUTC)).WithLevel(level)
	if err := serve(ctx, s, &f, events, logWriter.DroppedLines); err != nil {
		fmt.Fprintln(stderr, "tamarackedge:", err)
		return exitInternal
	}
	return exitDone
}

// flushTimeout bounds the writing of buffered log lines at exit.
const flushTimeout = 200 * time.Millisecond

// flush closes the log buffer and waits up to flushTimeout until its lines are written.
func flush(w *event.AsyncWriter) {
	select {
	case <-w.Close():
	case <-time.After(flushTimeout):
	}
}

// serve runs the entry until ctx ends; it ignores SIGHUP, because settings are not reloaded.
func serve(ctx context.Context, s edge.Settings, f *flags, events *event.Log, droppedLines func() int64) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go func() {
		for range reload {
			events.Log(event.ReloadIgnored)
		}
	}()
	dial := upstream.NewDial()
	storeTraffic := new(traffic.Meter)
	client := &http.Client{Transport: &http.Transport{
		DialContext: storeTraffic.WrapDial(dial), MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	}}
	e, err := edge.New(s, edge.Dependencies{
		Store: platform.NewStore(f.Store, client, int64(f.Answer*1e6)), StoreTraffic: storeTraffic, Keys: platform.NewKeys(f.Zones),
		Headers: platform.Headers{}, Pages: platform.Pages{}, Dial: dial, Listen: net.Listen, Events: events, Dropped: droppedLines,
		Uptime: uptime,
	})
	if err != nil {
		return errors.Join(errStart, err)
	}
	return e.Run(ctx)
}

// storeIdleTimeout is how long an idle connection to the store is kept open.
const storeIdleTimeout = 10 * time.Second

var errStart = errors.New("the entry cannot start")
