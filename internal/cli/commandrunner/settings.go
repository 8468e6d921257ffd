package commandrunner

import (
	"io"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// settingsFile is the file that --settings names. Its keys are the names of flags.
type settingsFile struct {
	Lines   *int
	Without []string
	Unsafe  *bool

	HeadBytes      *int    `yaml:"head-bytes"`
	HeadLines      *int    `yaml:"head-lines"`
	HeadTimeout    *string `yaml:"head-timeout"`
	RequestTimeout *string `yaml:"request-timeout"`
	AnswerTimeout  *string `yaml:"answer-timeout"`
	IdleTimeout    *string `yaml:"idle-timeout"`
	SocketBuffer   *int    `yaml:"socket-buffer"`
}

// values returns the values that are set, by the names of flags.
func (f *settingsFile) values() map[string]any {
	values := map[string]any{}
	if f.Without != nil {
		values["without"] = strings.Join(f.Without, ",")
	}
	if f.Unsafe != nil {
		values["unsafe"] = *f.Unsafe
	}
	for name, number := range map[string]*int{"lines": f.Lines, "head-bytes": f.HeadBytes, "head-lines": f.HeadLines, "socket-buffer": f.SocketBuffer} {
		if number != nil {
			values[name] = *number
		}
	}
	for name, text := range map[string]*string{
		"head-timeout": f.HeadTimeout, "request-timeout": f.RequestTimeout, "answer-timeout": f.AnswerTimeout, "idle-timeout": f.IdleTimeout,
	} {
		if text != nil {
			values[name] = *text
		}
	}
	return values
}

// readSettings reads a settings file as values of flags. An unknown key is an error.
func readSettings(r io.Reader) (kong.Resolver, error) {
	var f settingsFile
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&f); err != nil {
		return nil, trace.BadParameter("settings file: %v", err)
	}
	values := f.values()
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		return values[flag.Name], nil
	}), nil
}
