// Package parser reads declarations. It is strict: an unknown key, a wrong
// type or a value out of range is an error with file, line and column.
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
	// MaxBytes is the largest file.
	MaxBytes = 64 << 10
	// MaxReplicas is the most replicas of a service.
	MaxReplicas = 10_000
	// MaxTasks is the most tasks of one run.
	MaxTasks = 100_000
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline = 10 * time.Minute

	maxRoutes   = 256
	maxMethods  = 16
	maxDuration = 7 * 24 * time.Hour
)

// The kinds of declarations.
const (
	KindService = "service"
	KindJob     = "job"
	KindTeam    = "team"
)

// Problem is one fault of a declaration.
type Problem struct {
	File   string
	Line   int
	Column int
	Text   string
	Hint   string
}

// String returns the problem the way compilers print theirs.
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
	if p.Hint != "" {
		s += " (" + p.Hint + ")"
	}
	return s
}

// Spec is a declaration with its amounts read.
type Spec struct {
	Kind        string
	Name        string
	Team        string
	Size        message.Size
	Slots       int
	Connections int
	Replicas    int
	Deadline    time.Duration
	Urgent      bool
	Routes      []message.Route
	AllowThrottle    bool
	AllowCheckpoint  bool
	AllowEvict       bool
	Weight      float64
	Tasks       int
	ExpectedDuration      time.Duration
	Quota       message.Size
}

// Defaults for what a declaration leaves out.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultDeadline    = 5 * time.Second
	defaultMillis      = 1000
	defaultMemory      = 1 << 30
	defaultExpect      = 10 * time.Minute
	defaultWeight      = 0.5
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse reads one declaration. The file's name is only used in problems.
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
	r := &reader{file: file, tree: tree}
	spec := r.spec(d)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return spec, nil
}

// decode reads the text. The library panics on some malformed texts, and a
// declaration must not end the process that reads it.
func decode(text []byte) (tree *ast.File, d *message.Declaration, err error) {
	defer func() {
		if fault := recover(); fault != nil {
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

// syntaxProblem turns an error of the library into a problem.
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

// reader collects the problems of one declaration.
type reader struct {
	file     string
	tree     *ast.File
	problems []Problem
}

// fault notes a problem at the value of a path such as $.needs.memory.
func (r *reader) fault(path, hint, format string, args ...any) {
	p := Problem{File: r.file, Line: 1, Column: 1, Text: fmt.Sprintf(format, args...), Hint: hint}
	if y, err := yaml.PathString(path); err == nil {
		if node, err := y.FilterFile(r.tree); err == nil && node != nil && node.GetToken() != nil {
			p.Line = node.GetToken().Position.Line
			p.Column = node.GetToken().Position.Column
		}
	}
	r.problems = append(r.problems, p)
}
