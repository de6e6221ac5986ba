//go:build review

package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name; each returns how often the rule was broken.
var cases = map[string]func(w *world) (int, error){
	"removal": playRemoval,
	"watch":   playWatch,
	"stop":    playStop,
	"upload":  playUpload,
	"foreign": playForeign,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case with the first argument's name and writes its record to the folder of the second.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "standins: the name of a case and a folder are needed")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return exitNotRun
	}
	broken, err := cases[args[0]](w)
	interrupted := w.ctx.Err() != nil
	w.close()
	switch {
	case err != nil || interrupted:
		fmt.Fprintln(os.Stderr, "standins: the case could not run:", err)
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
