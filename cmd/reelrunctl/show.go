package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/controller/rolechange"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/timeline"
)

// show writes a value as JSON, or calls table, depending on the -output flag.
func (c *command) show(value any, table func() error) error {
	switch c.output {
	case "json":
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write output")
	case "table":
		return table()
	default:
		return errors.Wrapf(errUsage, "-output %q is neither table nor json", c.output)
	}
}

func (c *command) printf(format string, values ...any) error {
	_, err := fmt.Fprintf(c.out, format, values...)
	return errors.Wrap(err, "write output")
}

// rows writes lines of tab-separated columns as an aligned table.
func (c *command) rows(lines ...string) error {
	const minWidth, tabWidth, padding = 0, 8, 2
	table := tabwriter.NewWriter(c.out, minWidth, tabWidth, padding, ' ', 0)
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return errors.Wrap(table.Flush(), "write output")
}

func (c *command) planTable(plan *operator.Plan) error {
	lines := []string{fmt.Sprintf("plan %s on version %d", plan.Digest, plan.BaseVersion), "CHANGE\tOBJECT"}
	for _, change := range plan.Changes {
		lines = append(lines, string(change.Kind)+"\t"+change.Reference)
	}
	for _, order := range plan.Orders {
		lines = append(lines, fmt.Sprintf("order\t%s/%s: %s %s", order.Pool, order.Engine, order.Kind, order.Value))
	}
	return c.rows(lines...)
}

func getCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name: "get", ShortUsage: "reelrunctl get [tenants|classes|pools|services|engines]", ShortHelp: "Show the active configuration.",
		Exec: func(ctx context.Context, kinds []string) error {
			current, err := shared.client().Configuration(ctx)
			if err != nil {
				return err
			}
			return shared.show(current, func() error { return shared.rows(objectLines(current, kinds)...) })
		},
	}
}

func objectLines(current *api.Configuration, kinds []string) []string {
	selected := func(kind string) bool {
		if len(kinds) == 0 {
			return true
		}
		return strings.Contains(","+strings.Join(kinds, ",")+",", ","+kind+",")
	}
	lines := []string{fmt.Sprintf("version %d", current.Version)}
	if selected("tenants") {
		for _, tenant := range current.Tenants {
			lines = append(lines, fmt.Sprintf("tenant\t%s\tclasses %s\tservices %s", tenant.Name, strings.Join(tenant.Classes, ","), strings.Join(tenant.Services, ",")))
		}
	}
	if selected("classes") {
		for _, class := range current.Classes {
			lines = append(lines, fmt.Sprintf("class\t%s\tmodel %s\tfirst token %s, interval %s", class.Name, class.Model, class.FirstToken.Std(), class.TokenInterval.Std()))
		}
	}
	for _, pool := range current.Pools {
		if selected("pools") {
			lines = append(lines, fmt.Sprintf("pool\t%s\tmodel %s\tzone %s, %d engines", pool.Name, pool.Model, pool.Zone, len(pool.Engines)))
		}
		for _, engine := range pool.Engines {
			if selected("engines") {
				lines = append(lines, fmt.Sprintf("engine\t%s\tpool %s\t%s at %s", engine.Name, pool.Name, engine.Role, engine.Address))
			}
		}
	}
	if selected("services") {
		for _, service := range current.Services {
			lines = append(lines, fmt.Sprintf("service\t%s\t%d replicas\t", service.Name, len(service.Backends)))
		}
	}
	return lines
}

func statusCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "reelrunctl status", ShortHelp: "Show every node.",
		Exec: func(ctx context.Context, _ []string) error {
			statuses, err := shared.client().Status(ctx)
			if err != nil {
				return err
			}
			return shared.show(statuses, func() error { return shared.statusTable(statuses) })
		},
	}
}

func (c *command) statusTable(statuses []json.RawMessage) error {
	var adviceLines []string
	lines := []string{"NODE\tZONE\tSTATE\tVERSION\tLIVE NODES\tGRANTS\tPOOLS"}
	for _, raw := range statuses {
		var status struct {
			Node struct {
				Name string `json:"name"`
				Zone string `json:"zone"`
			} `json:"node"`
			State   string `json:"state"`
			Version uint64 `json:"configuration_version"`
			Live    int    `json:"live_nodes"`
			Grants  int    `json:"grants"`
			Pools   []struct {
				Pool string `json:"pool"`
			} `json:"pools"`
			Advice []rolechange.Advice `json:"advice"`
		}
		if err := json.Unmarshal(raw, &status); err != nil {
			return errors.Wrap(err, "decode status")
		}
		var pools []string
		for _, pool := range status.Pools {
			pools = append(pools, pool.Pool)
		}
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s", status.Node.Name, status.Node.Zone, status.State, status.Version, status.Live, status.Grants, strings.Join(pools, ",")))
		for _, advice := range status.Advice {
			adviceLines = append(adviceLines, fmt.Sprintf("advice for pool %s (prefill use %.2f, decode use %.2f): reelrunctl engine -role %s %s",
				advice.Pool, advice.PrefillUtilization, advice.DecodeUtilization, advice.Role, advice.Engine))
		}
	}
	return c.rows(append(lines, adviceLines...)...)
}

func timelineCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("timeline", flag.ContinueOnError)
	var selected timeline.Filter
	flags.StringVar(&selected.Request, "request", "", "only events of this request")
	flags.StringVar(&selected.Engine, "engine", "", "only events of this engine")
	flags.StringVar(&selected.Tenant, "tenant", "", "only events of this tenant")
	format := flags.String("format", "text", "text, json or html")
	processes := flags.String("processes", "", "addresses of stand-ins whose events are added, separated by commas")
	return &ffcli.Command{
		Name: "timeline", ShortUsage: "reelrunctl timeline [flags]", ShortHelp: "Show the events of all nodes in order.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			events, err := shared.client().Timeline(ctx, selected)
			if err != nil {
				return err
			}
			if events, err = withProcesses(ctx, events, selected, *processes); err != nil {
				return err
			}
			switch *format {
			case "text":
				return timeline.WriteText(shared.out, events)
			case "html":
				return timeline.WriteHTML(shared.out, events)
			case "json":
				return json.NewEncoder(shared.out).Encode(events)
			default:
				return errors.Wrapf(errUsage, "-format %q is neither text, json nor html", *format)
			}
		},
	}
}

// withProcesses adds the events of processes that are not nodes, such as stand-ins.
func withProcesses(ctx context.Context, events []timeline.Event, selected timeline.Filter, list string) ([]timeline.Event, error) {
	eventLists := [][]timeline.Event{events}
	for address := range strings.SplitSeq(list, ",") {
		if address == "" {
			continue
		}
		added, err := fetchEvents(ctx, address)
		if err != nil {
			return nil, err
		}
		eventLists = append(eventLists, slices.DeleteFunc(added, func(event timeline.Event) bool { return !selected.Matches(event) }))
	}
	return timeline.Merge(eventLists...), nil
}

func fetchEvents(ctx context.Context, address string) ([]timeline.Event, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/timeline", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch events")
	}
	defer func() { _ = response.Body.Close() }()
	var events []timeline.Event
	return events, errors.Wrap(json.NewDecoder(response.Body).Decode(&events), "decode events")
}

func hashCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name: "hash-token", ShortUsage: "reelrunctl hash-token <token>", ShortHelp: "Print the stored form of a token.",
		Exec: func(_ context.Context, tokens []string) error {
			if len(tokens) != 1 || tokens[0] == "" {
				return errors.Wrap(errUsage, "exactly one token is required")
			}
			return shared.printf("%s\n", configuration.HashToken(tokens[0]))
		},
	}
}
