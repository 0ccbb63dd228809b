// Command poppypass is a cluster scheduler: a few controllers take jobs from
// users, rent machines and place the jobs' tasks on them.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "poppypass:", err)
		os.Exit(1)
	}
}
