package timeline

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// stampLayout formats the physical component of a stamp to the millisecond.
const stampLayout = "15:04:05.000"

// WriteText writes one event per line.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		_, err := fmt.Fprintf(w, "%s %-12s %-22s %s\n", event.Stamp.Time().UTC().Format(stampLayout), event.Process, event.Kind, event.attributes())
		if err != nil {
			return err
		}
	}
	return nil
}

func (e Event) attributes() string {
	var parts []string
	for _, field := range []struct{ name, value string }{
		{"request", e.Request}, {"tenant", e.Tenant}, {"engine", e.Engine}, {"", e.Detail},
	} {
		switch {
		case field.value == "":
		case field.name == "":
			parts = append(parts, field.value)
		default:
			parts = append(parts, field.name+"="+field.value)
		}
	}
	return strings.Join(parts, " ")
}

// page has one column per process and one row per event.
var page = template.Must(template.New("timeline").Parse(`<!doctype html><meta charset="utf-8"><title>reelrun time line</title>
<style>body{font:13px sans-serif}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;vertical-align:top}th{position:sticky;top:0;background:#eee}td.event{background:#eef6ff}</style>
<table><tr><th>time (UTC)</th>{{range .Processes}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Time}}</td>{{range .Cells}}{{if .}}<td class="event">{{.}}</td>{{else}}<td></td>{{end}}{{end}}</tr>
{{end}}</table>`))

type row struct {
	Time  string
	Cells []string
}

// WriteHTML writes the events as an HTML page with one column per process.
func WriteHTML(w io.Writer, events []Event) error {
	var processes []string
	column := map[string]int{}
	for _, event := range events {
		if _, exists := column[event.Process]; !exists {
			column[event.Process] = len(processes)
			processes = append(processes, event.Process)
		}
	}
	rows := make([]row, len(events))
	for i, event := range events {
		cells := make([]string, len(processes))
		cells[column[event.Process]] = string(event.Kind) + " " + event.attributes()
		rows[i] = row{Time: event.Stamp.Time().UTC().Format(stampLayout), Cells: cells}
	}
	return page.Execute(w, map[string]any{"Processes": processes, "Rows": rows})
}
