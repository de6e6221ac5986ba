package gossip_test

import (
	"os"
	"runtime"
	"testing"
)

func TestMain(m *testing.M) {
	// The race detector crashes when timers of synctest's fake clock fire on two threads at once.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
