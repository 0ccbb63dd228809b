// Standin2 plays the cases 4 to 8 of the review. It starts controllers as processes of their own, with stand-ins of the state
// service, the cloud, the workers, the users and the platform that keeps the processes running.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// A scenario returns whether the rule was broken, and what was seen. The error means that the case could not run.
type scenario func(rec *Record, trouble bool) (broken bool, seen string, err error)

// current is the cluster that runs.
var current atomic.Pointer[Cluster]

var scenarios = map[string]scenario{
	"sweeps":   sweeps,
	"lostrun":  lostRun,
	"slowread": slowRead,
	"again":    again,
	"past":     past,
}

func main() {
	name := flag.String("case", "", "the scenario")
	out := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play := scenarios[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	if _, err := os.Stat("target/poppypass"); err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	file, err := os.Create(*out)
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	rec := &Record{file: file, start: time.Now()}
	time.AfterFunc(118*time.Second, func() { // no run takes longer than the limit of a case
		if c := current.Load(); c != nil {
			c.Stop()
		}
		fmt.Println("could not run: it takes too long")
		os.Exit(2)
	})
	broken, seen, err := play(rec, *trouble)
	verdict, code := "held", 0
	switch {
	case err != nil:
		verdict, code, seen = "could not run", 2, err.Error()
	case broken:
		verdict, code = "broken", 1
	}
	rec.Log("%s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	file.Close()
	os.Exit(code)
}
