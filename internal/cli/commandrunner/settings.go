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
}

// readSettings reads a settings file as values of flags. An unknown key is an error.
func readSettings(r io.Reader) (kong.Resolver, error) {
	var f settingsFile
	if err := yaml.NewDecoder(r, yaml.Strict()).Decode(&f); err != nil {
		return nil, trace.BadParameter("settings file: %v", err)
	}
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		switch {
		case flag.Name == "lines" && f.Lines != nil:
			return *f.Lines, nil
		case flag.Name == "without" && f.Without != nil:
			return strings.Join(f.Without, ","), nil
		case flag.Name == "unsafe" && f.Unsafe != nil:
			return *f.Unsafe, nil
		}
		return nil, nil
	}), nil
}
