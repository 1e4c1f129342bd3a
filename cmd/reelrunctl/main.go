// Command reelrunctl is the operators' command line: it sends intents, confirms plans,
// and shows the configuration, the status and the timeline of a fleet.
//
// Exit codes: 0 for success, 1 for a failure, 2 for invalid usage or invalid
// objects, 3 for a conflict with another operator, 4 if the node cannot be
// reached.
package main

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/tlsfiles"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

// command holds the flags and the output that all subcommands share.
type command struct {
	node   string
	token  string
	output string
	// tlsConfig is used to connect to nodes over TLS.
	tlsConfig *tls.Config
	out       io.Writer
}

func (c *command) client() *operator.Client {
	transport := &http.Transport{TLSClientConfig: c.tlsConfig}
	return &operator.Client{BaseURL: c.node, Token: c.token, HTTP: &http.Client{Transport: transport}}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	shared := &command{out: out}
	flags := flag.NewFlagSet("reelrunctl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&shared.node, "node", "http://127.0.0.1:7301", "operators' address of any node")
	flags.StringVar(&shared.token, "token", "", "operators' token")
	authority := flags.String("authority", "", "PEM file with the authority of the node's certificate; default: the authorities of the system")
	flags.StringVar(&shared.output, "output", "table", "table or json")
	root := &ffcli.Command{
		ShortUsage: "reelrunctl [flags] <subcommand>",
		ShortHelp:  "Operate a reelrun fleet.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("REELRUNCTL")},
		Subcommands: []*ffcli.Command{
			planCommand(shared), confirmCommand(shared), applyCommand(shared), removeCommand(shared), engineCommand(shared),
			getCommand(shared), statusCommand(shared), timelineCommand(shared), hashCommand(shared), explainCommand(shared),
			accountCommand(shared), buildsCommand(shared),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	var err error
	if shared.tlsConfig, err = tlsfiles.ClientConfig(*authority); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	return exitCode(root.Run(ctx), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	var findings *operator.FindingsError
	switch {
	case errors.As(err, &findings), errors.Is(err, errUsage):
		return exitUsage
	case api.IsCode(err, api.CodeConflict):
		return exitConflict
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	default:
		return exitFailure
	}
}
