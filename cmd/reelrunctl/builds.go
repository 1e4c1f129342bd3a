package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/loglines"
)

// nodeEvent is a start or a planned stop of a node, as logged by the node.
type nodeEvent struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Node    string    `json:"node"`
	Build   string    `json:"build"`
}

// The messages that a node logs for a start and for the end of a planned stop.
const (
	messageStart   = "start"
	messageStopped = "stopped"
)

// buildsCommand reads logs and calls no node.
func buildsCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name:       "builds",
		ShortUsage: "reelrunctl builds [LOG ...]",
		ShortHelp:  "Show which build each node started last, from the logs of all nodes; without files, standard input.",
		Exec: func(_ context.Context, files []string) error {
			return withLogs(files, func(logs []io.Reader) error {
				latest, err := latestEvents(logs)
				if err != nil {
					return err
				}
				return writeBuilds(shared.out, latest)
			})
		},
	}
}

// latestEvents returns the latest start or planned stop of each node.
func latestEvents(logs []io.Reader) (map[string]nodeEvent, error) {
	latest := map[string]nodeEvent{}
	for _, log := range logs {
		err := loglines.Each(log, func(text []byte) {
			var line nodeEvent
			if json.Unmarshal(text, &line) != nil {
				return // The line is truncated, or no node wrote it.
			}
			relevant := line.Message == messageStart || line.Message == messageStopped
			if relevant && line.Node != "" && !line.Time.Before(latest[line.Node].Time) {
				latest[line.Node] = line
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return latest, nil
}

// writeBuilds writes one line per node, and then the number of nodes that run each build.
func writeBuilds(out io.Writer, latest map[string]nodeEvent) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) //nolint:mnd // two spaces between columns
	running := map[string]int{}
	_, _ = fmt.Fprintln(table, "node\tbuild\tsince")
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		last := latest[name]
		build := last.Build
		if last.Message == messageStopped {
			build = messageStopped
		} else {
			running[build]++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", name, build, last.Time.Format(time.RFC3339))
	}
	for _, build := range slices.Sorted(maps.Keys(running)) {
		_, _ = fmt.Fprintf(table, "%d nodes\t%s\t\n", running[build], build)
	}
	return errors.Wrap(table.Flush(), "write builds")
}
