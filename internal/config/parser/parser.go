// Package parser parses and validates declarations. It is strict: an unknown key,
// a wrong type or a value out of range is a problem with file, line and column.
package parser

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"

	"knapweedspur/internal/wire/message"
)

// Limits of a declaration.
const (
	// MaxBytes is the largest size of a declaration file.
	MaxBytes = 64 << 10
	// MaxReplicas is the largest number of replicas of a service.
	MaxReplicas = 10_000
	// MaxTasks is the largest number of tasks of a run.
	MaxTasks = 100_000
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline = 10 * time.Minute

	maxRoutes       = 256
	maxMethods      = 16
	maxTaskDuration = 7 * 24 * time.Hour
)

// The kinds of declarations.
const (
	KindService = "service"
	KindJob     = "job"
	KindTeam    = "team"
)

// Problem describes one error in a declaration.
type Problem struct {
	File   string
	Line   int
	Column int
	Text   string
	Hint   string
}

// String formats the problem in the way compilers do, as file:line:column: text.
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
	if p.Hint != "" {
		s += " (" + p.Hint + ")"
	}
	return s
}

// Spec is a validated declaration with parsed values and defaults.
type Spec struct {
	Kind             string
	Name             string
	Team             string
	Size             message.Size
	Slots            int
	Connections      int
	Replicas         int
	Deadline         time.Duration
	Urgent           bool
	Routes           []message.Route
	AllowThrottle    bool
	AllowCheckpoint  bool
	AllowEvict       bool
	Weight           float64
	Tasks            int
	ExpectedDuration time.Duration
	Quota            message.Size
}

// Defaults for keys that a declaration leaves out.
const (
	defaultSlots        = 8
	defaultConnections  = 64
	defaultDeadline     = 5 * time.Second
	defaultMillicores   = 1000
	defaultMemory       = 1 << 30
	defaultTaskDuration = 10 * time.Minute
	defaultWeight       = 0.5
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse parses one declaration. The file name is used only in problems.
func Parse(file string, text []byte) (*Spec, []Problem) {
	if len(text) > MaxBytes {
		return nil, []Problem{{File: file, Line: 1, Column: 1, Text: fmt.Sprintf("the file has %d bytes", len(text)), Hint: fmt.Sprintf("a declaration has at most %d", MaxBytes)}}
	}
	tree, d, err := decode(text)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	if len(tree.Docs) > 1 {
		return nil, []Problem{{File: file, Line: 1, Column: 1, Text: "the file holds several documents", Hint: "write one declaration a file"}}
	}
	b := &specBuilder{file: file, tree: tree}
	spec := b.build(d)
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return spec, nil
}

// decode parses the YAML text. The YAML library panics on some malformed texts, and
// a declaration must not crash the process that reads it.
func decode(text []byte) (tree *ast.File, d *message.Declaration, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("the file is not YAML that can be read")
		}
	}()
	tree, err = yamlparser.ParseBytes(text, 0)
	if err != nil {
		return nil, nil, err
	}
	d = &message.Declaration{}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	return tree, d, decoder.Decode(d)
}

// syntaxProblem converts an error of the YAML library to a problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Text: firstLine(err.Error())}
	var located yaml.Error
	if !errors.As(err, &located) {
		if strings.Contains(p.Text, "EOF") {
			p.Text = "the file is empty"
			p.Hint = "begin with kind: service, job or team"
		}
		return p
	}
	if t := located.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
		p.Column = t.Position.Column
	}
	p.Text = located.GetMessage()
	if strings.Contains(p.Text, "unknown field") {
		p.Hint = "see man/knapweedspur-declaration.5.md for the keys"
	}
	return p
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// specBuilder builds the spec of one declaration and collects its problems.
type specBuilder struct {
	file     string
	tree     *ast.File
	problems []Problem
}

// addProblem adds a problem at the position of a YAML path such as $.needs.memory.
func (b *specBuilder) addProblem(path, hint, format string, args ...any) {
	p := Problem{File: b.file, Line: 1, Column: 1, Text: fmt.Sprintf(format, args...), Hint: hint}
	if y, err := yaml.PathString(path); err == nil {
		if node, err := y.FilterFile(b.tree); err == nil && node != nil && node.GetToken() != nil {
			p.Line = node.GetToken().Position.Line
			p.Column = node.GetToken().Position.Column
		}
	}
	b.problems = append(b.problems, p)
}
