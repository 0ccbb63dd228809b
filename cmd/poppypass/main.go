// Command poppypass is a cluster scheduler: a few controllers take jobs from
// users, rent machines and place the jobs' tasks on them.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "poppypass:", err)
		os.Exit(exitStatus(err))
	}
}

// exitTryAgain is the exit status of a command that a controller cannot answer now, such as a cancellation that is not
// confirmed yet (EX_TEMPFAIL of sysexits); other failures end with 1.
const exitTryAgain = 75

func exitStatus(err error) int {
	if errors.Is(err, errNotNow) {
		return exitTryAgain
	}
	return 1
}
