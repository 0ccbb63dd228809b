// Command poppypass is a cluster scheduler: a few controllers accept jobs from
// users, rent machines from a cloud and place the jobs' tasks on them.
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

// exitTemporaryFailure is the exit status of a command whose request the controller temporarily cannot serve,
// such as a cancellation that is not confirmed yet. Its value is EX_TEMPFAIL of sysexits.h. All other failures
// exit with status 1.
const exitTemporaryFailure = 75

func exitStatus(err error) int {
	if errors.Is(err, errTemporarilyUnavailable) {
		return exitTemporaryFailure
	}
	return 1
}
