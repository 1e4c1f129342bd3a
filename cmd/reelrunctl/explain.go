package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/explain"
)

// explainCommand reads logs and calls no node.
func explainCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	request := flags.String("request", "", "the request's identifier")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "reelrunctl explain -request ID [LOG ...]",
		ShortHelp:  "Show the log lines of several nodes about a request and the attempts that resume its stream, in order; without files, standard input.",
		FlagSet:    flags,
		Exec: func(_ context.Context, files []string) error {
			if *request == "" {
				return errors.Wrap(errUsage, "-request is required")
			}
			return explainRequest(shared.out, *request, files)
		},
	}
}

func explainRequest(output io.Writer, request string, files []string) error {
	return withLogs(files, func(logs []io.Reader) error {
		lines, err := explain.Read(request, logs...)
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return errors.Newf("no log line mentions request %s", request)
		}
		return explain.Write(output, lines)
	})
}

// withLogs calls read with the opened files, or with standard input if no files are given.
func withLogs(files []string, read func([]io.Reader) error) error {
	var logs []io.Reader
	for _, name := range files {
		log, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = log.Close() }()
		logs = append(logs, log)
	}
	if len(files) == 0 {
		logs = append(logs, os.Stdin)
	}
	return read(logs)
}
