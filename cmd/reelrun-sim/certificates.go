package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/sim/certificates"
)

func certificatesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("certificates", flag.ContinueOnError)
	out := flags.String("out", "certificates", "folder for the files")
	names := flags.String("names", "node", "names of the certificates, separated by commas")
	addresses := flags.String("addresses", "127.0.0.1", "IP addresses that the certificates name, separated by commas")
	valid := flags.Duration("valid", 24*time.Hour, "time for which the certificates are valid")
	return &ffcli.Command{
		Name: "certificates", ShortUsage: "reelrun-sim certificates [flags]", ShortHelp: "Issue certificates of a new authority, for rehearsals.", FlagSet: flags,
		Exec: func(context.Context, []string) error {
			parsed, err := parseAddresses(*addresses)
			if err != nil {
				return err
			}
			return issueAll(*out, split(*names), certificates.Options{Validity: *valid, Addresses: parsed})
		},
	}
}

func parseAddresses(list string) ([]net.IP, error) {
	var parsed []net.IP
	for _, text := range split(list) {
		address := net.ParseIP(text)
		if address == nil {
			return nil, errors.Newf("%q is not an IP address", text)
		}
		parsed = append(parsed, address)
	}
	return parsed, nil
}

func issueAll(folder string, names []string, options certificates.Options) error {
	const ownerOnly = 0o700
	if err := os.MkdirAll(folder, ownerOnly); err != nil {
		return errors.Wrap(err, "create folder")
	}
	authority, err := certificates.NewAuthority(options)
	if err != nil {
		return err
	}
	for _, name := range names {
		files, _, err := authority.Issue(folder, name)
		if err != nil {
			return err
		}
		fmt.Println(files.Certificate)
	}
	return nil
}
