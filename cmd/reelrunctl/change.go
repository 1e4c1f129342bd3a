package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"gopkg.in/yaml.v3"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/operator"
)

// errUsage is wrapped by errors about invalid arguments.
var errUsage = errors.New("invalid usage")

// readObjects reads objects from a YAML or JSON file. YAML is converted to JSON
// first, so that one set of field names and one strict decoder serve both.
func readObjects(path string) (api.Configuration, error) {
	var objects api.Configuration
	data, err := os.ReadFile(path)
	if err != nil {
		return objects, errors.Wrap(err, "read objects")
	}
	var document any
	if err := yaml.Unmarshal(data, &document); err != nil {
		return objects, fileFinding(path, err)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return objects, fileFinding(path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&objects); err != nil {
		return objects, fileFinding(path, err)
	}
	return objects, nil
}

func fileFinding(path string, err error) error {
	return &operator.FindingsError{Findings: api.Findings{{Place: path, Problem: err.Error()}}}
}

// readFiles reads several files and merges their objects.
func readFiles(paths []string) (api.Configuration, error) {
	var merged api.Configuration
	if len(paths) == 0 {
		return merged, errors.Wrap(errUsage, "at least one file is required")
	}
	for _, path := range paths {
		objects, err := readObjects(path)
		if err != nil {
			return merged, err
		}
		merged.Tenants = append(merged.Tenants, objects.Tenants...)
		merged.Classes = append(merged.Classes, objects.Classes...)
		merged.Pools = append(merged.Pools, objects.Pools...)
		merged.Services = append(merged.Services, objects.Services...)
	}
	return merged, nil
}

func planCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name: "plan", ShortUsage: "reelrunctl plan <file>...", ShortHelp: "Show what applying objects would change.",
		Exec: func(ctx context.Context, paths []string) error {
			objects, err := readFiles(paths)
			if err != nil {
				return err
			}
			return shared.showPlan(ctx, operator.Intent{Action: operator.ActionApply, Objects: objects})
		},
	}
}

func (c *command) showPlan(ctx context.Context, intent operator.Intent) error {
	plan, err := c.client().Plan(ctx, intent)
	if err != nil {
		return err
	}
	return c.show(plan, func() error { return c.planTable(plan) })
}

func confirmCommand(shared *command) *ffcli.Command {
	return &ffcli.Command{
		Name: "confirm", ShortUsage: "reelrunctl confirm <plan.json>", ShortHelp: "Confirm a plan that was saved with -output json.",
		Exec: func(ctx context.Context, paths []string) error {
			if len(paths) != 1 {
				return errors.Wrap(errUsage, "exactly one plan file is required")
			}
			data, err := os.ReadFile(paths[0])
			if err != nil {
				return errors.Wrap(err, "read plan")
			}
			plan := &operator.Plan{}
			if err := json.Unmarshal(data, plan); err != nil {
				return fileFinding(paths[0], err)
			}
			return shared.confirm(ctx, plan)
		},
	}
}

func (c *command) confirm(ctx context.Context, plan *operator.Plan) error {
	confirmed, err := c.client().Confirm(ctx, plan)
	if err != nil {
		return err
	}
	return c.show(confirmed, func() error { return c.printf("version %d accepted\n", confirmed.Version) })
}

// planAndConfirm shows a plan and, unless it is a dry run, confirms it.
func (c *command) planAndConfirm(ctx context.Context, intent operator.Intent, dryRun bool) error {
	plan, err := c.client().Plan(ctx, intent)
	if err != nil {
		return err
	}
	if dryRun {
		return c.show(plan, func() error { return c.planTable(plan) })
	}
	if err := c.planTable(plan); err != nil {
		return err
	}
	return c.confirm(ctx, plan)
}

func applyCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	dryRun := flags.Bool("dry-run", false, "check the objects and show the plan only")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "reelrunctl apply [-dry-run] <file>...", ShortHelp: "Plan and confirm in one step.", FlagSet: flags,
		Exec: func(ctx context.Context, paths []string) error {
			objects, err := readFiles(paths)
			if err != nil {
				return err
			}
			return shared.planAndConfirm(ctx, operator.Intent{Action: operator.ActionApply, Objects: objects}, *dryRun)
		},
	}
}

func removeCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("remove", flag.ContinueOnError)
	dryRun := flags.Bool("dry-run", false, "show the plan only")
	return &ffcli.Command{
		Name: "remove", ShortUsage: "reelrunctl remove [-dry-run] <kind/name>...", ShortHelp: "Remove objects such as tenants/x.", FlagSet: flags,
		Exec: func(ctx context.Context, references []string) error {
			if len(references) == 0 {
				return errors.Wrap(errUsage, "at least one object is required")
			}
			return shared.planAndConfirm(ctx, operator.Intent{Action: operator.ActionRemove, References: references}, *dryRun)
		},
	}
}

func engineCommand(shared *command) *ffcli.Command {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	dryRun := flags.Bool("dry-run", false, "show the plan only")
	role := flags.String("role", "", "new role: prefill or decode")
	version := flags.String("model-version", "", "model version to load")
	adapter := flags.String("adapter", "", "adapter to load")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "reelrunctl engine [flags] <engine>", ShortHelp: "Change an engine's role, model version or adapters.", FlagSet: flags,
		Exec: func(ctx context.Context, names []string) error {
			if len(names) != 1 {
				return errors.Wrap(errUsage, "exactly one engine is required")
			}
			intent := operator.Intent{Action: operator.ActionEngine, Engine: names[0], Role: api.Role(*role), ModelVersion: *version, Adapter: *adapter}
			return shared.planAndConfirm(ctx, intent, *dryRun)
		},
	}
}
