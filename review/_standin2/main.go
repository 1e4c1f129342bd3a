// Command _standin2 plays the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(r *record, trouble bool) (int, error){"uploads": uploads, "resumes": resumes, "popular": popular, "blind": blind}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := play(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("not run: %v", err)
		os.Exit(exitNotRun)
	}
	os.Exit(code)
}
