// Package explain traces a request through the logs of several nodes.
package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/loglines"
)

// Line is a log line about a request.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields are the remaining attributes, ordered by name.
	Fields []Field
}

// Field is an attribute of a line.
type Field struct{ Name, Value string }

// Names of the fields with a fixed meaning. They are not part of Line.Fields.
const (
	fieldTime    = "time"
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldNode    = "node"
	fieldRequest = "request"
	fieldResumes = "resumes"
	fieldContent = "content"
	fieldRecord  = "record"
	fieldSource  = "source"
)

const (
	// messageRecord is the message of a line about a change of a quarantine record, and sourceCoordinator its source at the
	// node that made the change. The lines of the other nodes repeat it.
	messageRecord     = "request standing"
	sourceCoordinator = "store"
)

// Read returns the lines about a request ordered by time, and those about the other attempts to receive its stream: the one
// that it resumes, and all that resume the same one. For an attempt that was rejected by a quarantine record, the changes of
// the record are included. It ignores lines that are not JSON and any text before the JSON of a
// line.
func Read(request string, logs ...io.Reader) ([]Line, error) {
	var attempts []attemptLine
	for _, log := range logs {
		err := loglines.Each(log, func(text []byte) {
			if attempt, ok := parse(text); ok {
				attempts = append(attempts, attempt)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	related := relatedTo(request, attempts)
	records := map[string]bool{}
	for _, attempt := range attempts {
		if related[attempt.request] && attempt.record != "" {
			records[attempt.record] = true
		}
	}
	var lines []Line
	for _, attempt := range attempts {
		if related[attempt.request] && attempt.request != "" || records[attempt.changed] {
			lines = append(lines, attempt.line)
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	return lines, nil
}

// attemptLine is a line about one attempt, or about a quarantine record.
type attemptLine struct {
	// request is the attempt; empty for a line about a record.
	request string
	// record is the quarantine record by which the attempt was rejected, and changed the record that the line says has
	// changed; empty for none.
	record, changed string
	// resumes is the attempt that began the stream which this one resumes; empty for none.
	resumes string
	line    Line
}

// relatedTo returns the attempts to receive the stream of a request.
func relatedTo(request string, attempts []attemptLine) map[string]bool {
	first := request
	for _, attempt := range attempts {
		if attempt.request == request && attempt.resumes != "" {
			first = attempt.resumes
		}
	}
	related := map[string]bool{request: true, first: true}
	for _, attempt := range attempts {
		if attempt.resumes == first {
			related[attempt.request] = true
		}
	}
	return related
}

// parse returns a line if it is about an attempt or a quarantine record.
func parse(text []byte) (attemptLine, bool) {
	if !bytes.Contains(text, []byte(`"`+fieldRequest+`"`)) && !bytes.Contains(text, []byte(`"`+messageRecord+`"`)) {
		return attemptLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return attemptLine{}, false
	}
	request, isAttempt := fields[fieldRequest].(string)
	changed := changedRecord(fields)
	if !isAttempt && changed == "" {
		return attemptLine{}, false
	}
	line := Line{Node: textOf(fields[fieldNode]), Message: textOf(fields[fieldMessage])}
	line.Time, _ = time.Parse(time.RFC3339Nano, textOf(fields[fieldTime])) // A line without a time sorts first.
	for name, value := range fields {
		switch name {
		case fieldTime, fieldLevel, fieldMessage, fieldNode, fieldRequest:
		default:
			line.Fields = append(line.Fields, Field{name, textOf(value)})
		}
	}
	sort.Slice(line.Fields, func(i, j int) bool { return line.Fields[i].Name < line.Fields[j].Name })
	return attemptLine{
		request: request, record: textOf(fields[fieldRecord]), changed: changed, resumes: textOf(fields[fieldResumes]), line: line,
	}, true
}

// changedRecord returns the name of the quarantine record that a line of its coordinator says has changed; empty for other lines.
func changedRecord(fields map[string]any) string {
	if fields[fieldMessage] != messageRecord || fields[fieldSource] != sourceCoordinator {
		return ""
	}
	return textOf(fields[fieldContent])
}

func textOf(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Write prints one line of text per log line.
func Write(output io.Writer, lines []Line) error {
	for _, line := range lines {
		var fields strings.Builder
		for _, field := range line.Fields {
			if field.Value != "" {
				fmt.Fprintf(&fields, " %s=%s", field.Name, field.Value)
			}
		}
		const clockLayout = "15:04:05.000"
		if _, err := fmt.Fprintf(output, "%s %s: %s%s\n", line.Time.Format(clockLayout), line.Node, line.Message, fields.String()); err != nil {
			return errors.Wrap(err, "write line")
		}
	}
	return nil
}
