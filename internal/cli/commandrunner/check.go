package commandrunner

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"knapweedspur/internal/config/parser"
)

// checkCommand checks declaration files.
type checkCommand struct {
	Paths []string `arg:"" help:"Files, or folders that are searched for .yaml and .yml files." name:"path"`
	JSON  bool     `name:"json" help:"Print for programs."`
}

// Help shows an example.
func (c *checkCommand) Help() string {
	return `Example:
  knapweedspur check example/federation`
}

// Run checks all files and prints every problem.
func (c *checkCommand) Run(env *environment) error {
	files, problems, err := readDeclarations(c.Paths)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(env.stdout, problems); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintln(env.stdout, p)
		}
	}
	if len(problems) > 0 {
		return trace.BadParameter("%d problems in %d files", len(problems), len(files))
	}
	if !c.JSON {
		fmt.Fprintf(env.stdout, "%d declarations are fine\n", len(files))
	}
	return nil
}

// declaration is a declaration file; spec is nil if the file has problems.
type declaration struct {
	file string
	body string
	spec *parser.Spec
}

// readDeclarations reads and checks the declaration files of the paths. A name
// that two files declare is a problem.
func readDeclarations(paths []string) ([]declaration, []parser.Problem, error) {
	names, err := findFiles(paths)
	if err != nil {
		return nil, nil, err
	}
	if len(names) == 0 {
		return nil, nil, usageError{trace.BadParameter("no .yaml or .yml file in %s", strings.Join(paths, " "))}
	}
	var files []declaration
	problems := []parser.Problem{}
	seen := map[string]string{}
	for _, name := range names {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, trace.ConvertSystemError(err)
		}
		spec, fileProblems := parser.Parse(name, body)
		problems = append(problems, fileProblems...)
		if spec != nil && seen[spec.Name] != "" {
			problems = append(problems, parser.Problem{File: name, Line: 1, Column: 1, Text: "the name " + spec.Name + " is taken by " + seen[spec.Name], Hint: "give one of them another name"})
		}
		if spec != nil {
			seen[spec.Name] = name
		}
		files = append(files, declaration{file: name, body: string(body), spec: spec})
	}
	return files, problems, nil
}

// findFiles returns the named files and the YAML files in the named folders,
// sorted.
func findFiles(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, usageError{trace.ConvertSystemError(err)}
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && isYAML(name) {
				names = append(names, name)
			}
			return err
		})
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	sort.Strings(names)
	return names, nil
}

func isYAML(name string) bool {
	ext := filepath.Ext(name)
	return ext == ".yaml" || ext == ".yml"
}
