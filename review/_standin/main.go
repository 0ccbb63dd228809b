package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenarios are the cases by name. Each returns whether the rule held, with a line that says what was seen.
var scenarios = map[string]func(rec *record, trouble bool) (held bool, text string){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	rec := newRecord(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-interrupted; cleanUp(); os.Exit(2) }()
	held, text := play(rec, os.Getenv("TROUBLE") != "0")
	cleanUp()
	verdict := "held"
	if !held {
		verdict = "BROKEN"
	}
	rec.log("verdict", "%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	if !held {
		os.Exit(1)
	}
}
