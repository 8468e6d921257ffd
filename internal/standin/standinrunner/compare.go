package standinrunner

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/standin/paircomparer"
	"knapweedspur/platform/benchplayer"
)

// compareCommand compares two versions, or one with and without a mechanism, by pairs of
// plays under the same seeds.
type compareCommand struct {
	Bench compareBench `cmd:"" help:"Compare two commits, or one commit without a mechanism, on days of the users' deployments."`
	Lab   compareLab   `cmd:"" help:"Compare this program with itself without a mechanism on a load, without a bench."`
}

// compareOptions are the options of both commands.
type compareOptions struct {
	Seeds   string   `required:"" help:"Seeds for choosing, such as 1-12 or 3,5,8."`
	Confirm string   `help:"Seeds for confirming; none of them may be for choosing."`
	Without []string `help:"Mechanisms that the second side is played without." placeholder:"NAME"`
	Out     string   `default:"report/compare" help:"Folder for results; plays that are there are not repeated."`
}

// seedSets returns the seeds by what they are for.
func (o *compareOptions) seedSets() ([]seedSet, error) {
	sets := []seedSet{{title: "choosing"}, {title: "confirming"}}
	for i, text := range []string{o.Seeds, o.Confirm} {
		var err error
		if sets[i].seeds, err = parseSeeds(text); err != nil {
			return nil, err
		}
	}
	for _, seed := range sets[1].seeds {
		if slices.Contains(sets[0].seeds, seed) {
			return nil, trace.BadParameter("seed %d is for choosing and for confirming", seed)
		}
	}
	return slices.DeleteFunc(sets, func(s seedSet) bool { return len(s.seeds) == 0 }), nil
}

// seedSet is the seeds of one purpose.
type seedSet struct {
	title string
	seeds []uint64
}

// parseSeeds reads seeds and ranges of seeds, separated by commas.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		from, to, isRange := strings.Cut(part, "-")
		if !isRange {
			to = from
		}
		first, err1 := strconv.ParseUint(from, 10, 63)
		last, err2 := strconv.ParseUint(to, 10, 63)
		if err1 != nil || err2 != nil || first > last {
			return nil, trace.BadParameter("%q is no seed and no range of seeds such as 1-12", part)
		}
		for seed := first; seed <= last; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// write prints the tables of a comparison and writes them and a page with pictures.
func (o *compareOptions) write(env *environment, name string, sections []paircomparer.Section) error {
	var tables strings.Builder
	for _, s := range sections {
		fmt.Fprintln(&tables, paircomparer.Table(s.Title, s.Pairs))
	}
	fmt.Fprintf(env.stdout, "%s\n\n%s", name, tables.String())
	path := filepath.Join(o.Out, strings.ReplaceAll(name, " ", "-"))
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := os.WriteFile(path+".md", []byte(tables.String()), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	file, err := os.Create(path + ".html")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := paircomparer.WritePage(file, name, sections); err != nil {
		return trace.Wrap(err, "write the page")
	}
	fmt.Fprintf(env.stdout, "page: %s\n", file.Name())
	return nil
}

// compareBench plays days of the users' deployments with their bench.
type compareBench struct {
	compareOptions
	Base            string   `default:"HEAD" help:"Commit of the first side."`
	With            string   `default:"HEAD" help:"Commit of the second side."`
	BaseWithout     []string `help:"Mechanisms that the first side is played without." placeholder:"NAME"`
	Site            []string `required:"" type:"existingfile" help:"Site files."`
	Day             []string `help:"Days of the sites; all without any."`
	Program         string   `name:"bench" required:"" type:"existingfile" env:"BENCH" help:"The users' bench."`
	Jobs            int      `help:"Days that are played at once; half of the processors by default."`
	Why             string   `default:"paired comparison" help:"Line for the journal."`
	ChargeProcessor bool     `name:"charge-processor" help:"Count processor time; plays of one seed then differ."`
}

// Help shows an example.
func (c *compareBench) Help() string {
	return `Example:
  standin compare bench --site "$KIT"/further/*.toml --base main --with HEAD \
    --seeds 101-104 --confirm 1101-1104 --why "round 3: ..."`
}

// Run plays what is missing and prints the comparison. A day that can't be played ends the
// comparison; what was played is kept.
func (c *compareBench) Run(env *environment) error {
	sets, err := c.seedSets()
	if err != nil {
		return err
	}
	days, err := c.days(sets)
	if err != nil {
		return err
	}
	root, err := benchplayer.Root(".")
	if err != nil {
		return err
	}
	base, err := c.newSide(root, c.Base, c.BaseWithout)
	if err != nil {
		return err
	}
	with, err := c.newSide(root, c.With, c.Without)
	if err != nil {
		return err
	}
	sides := []*side{base, with}
	if base.Results == with.Results {
		sides = sides[:1]
	}
	var players []*benchplayer.Player
	for _, s := range sides {
		if err := benchplayer.CheckOut(root, s.revision, s.Checkout, s.flags); err != nil {
			return err
		}
		players = append(players, s.Player)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r := &relay{jobs: c.Jobs, env: env}
	if r.jobs < 1 {
		r.jobs = max(runtime.NumCPU()/2, 1)
	}
	playErr := r.play(ctx, players, days)
	for _, p := range players {
		count, err := benchplayer.CollectJournal(p.Checkout, root)
		if err != nil {
			return trace.Wrap(err, "collect the journal of %s", p.Checkout)
		}
		fmt.Fprintf(env.stdout, "%d journal entries of %s\n", count, filepath.Base(p.Checkout))
	}
	if playErr != nil {
		return playErr
	}
	sections, err := c.sections(sets, days, base.Player, with.Player)
	if err != nil {
		return err
	}
	return c.write(env, filepath.Base(base.Checkout)+" "+filepath.Base(with.Checkout), sections)
}

// days returns the days to play. It checks all of them first.
func (c *compareBench) days(sets []seedSet) ([]benchplayer.Day, error) {
	var days []benchplayer.Day
	for _, path := range c.Site {
		site, err := benchplayer.ReadSite(path)
		if err != nil {
			return nil, err
		}
		names := c.Day
		if len(names) == 0 {
			names = site.Days
		}
		absolute, err := filepath.Abs(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		for _, name := range names {
			if err := site.CheckDay(path, name); err != nil {
				return nil, err
			}
			for _, set := range sets {
				for _, seed := range set.seeds {
					days = append(days, benchplayer.Day{Site: absolute, Name: name, Seed: seed})
				}
			}
		}
	}
	return days, nil
}

// side is one side of the pairs: a commit with flags for its processes.
type side struct {
	*benchplayer.Player
	revision string
	flags    []string
}

// newSide checks what is asked for; it checks out nothing.
func (c *compareBench) newSide(root, revision string, without []string) (*side, error) {
	gates, err := gatekeeper.Parse(without, true)
	if err != nil {
		return nil, err
	}
	name, err := benchplayer.Commit(root, revision)
	if err != nil {
		return nil, err
	}
	// No line is folded, so that losses can be counted.
	flags := []string{"--lines", "100000"}
	if off := gates.Off(); len(off) > 0 {
		name += "-without-" + strings.Join(off, "-")
		flags = append(flags, "--unsafe", "--without", strings.Join(off, ","))
	}
	out, err := filepath.Abs(c.Out)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &benchplayer.Player{
		Bench: c.Program, Checkout: filepath.Join(out, "sources", name), Results: filepath.Join(out, "plays", name),
		Why: c.Why + " (" + name + ")", ChargeProcessor: c.ChargeProcessor,
	}
	if p.ChargeProcessor {
		p.Results += "-charged"
	}
	return &side{p, revision, flags}, nil
}

// sections returns the pairs by what their seeds are for.
func (c *compareBench) sections(sets []seedSet, days []benchplayer.Day, base, with *benchplayer.Player) ([]paircomparer.Section, error) {
	var sections []paircomparer.Section
	for _, set := range sets {
		s := paircomparer.Section{Title: set.title}
		for _, d := range days {
			if !slices.Contains(set.seeds, d.Seed) {
				continue
			}
			p := paircomparer.Pair{Site: d.SiteName(), Day: d.Name, Seed: d.Seed}
			var err error
			if p.Base, err = outcomeOf(base, d); err != nil {
				return nil, err
			}
			if p.With, err = outcomeOf(with, d); err != nil {
				return nil, err
			}
			s.Pairs = append(s.Pairs, p)
		}
		sections = append(sections, s)
	}
	return sections, nil
}

// compareLab plays days of a load in virtual time.
type compareLab struct {
	labOptions
	compareOptions
}

// Run simulates the days with and without mechanisms and prints the comparison.
func (c *compareLab) Run(env *environment) error {
	sets, err := c.seedSets()
	if err != nil {
		return err
	}
	gates, err := gatekeeper.Parse(c.Without, true)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(c.Load), filepath.Ext(c.Load))
	var sections []paircomparer.Section
	for _, set := range sets {
		base, err := c.simulate(gatekeeper.Gates{}, set.seeds)
		if err != nil {
			return err
		}
		with, err := c.simulate(gates, set.seeds)
		if err != nil {
			return err
		}
		s := paircomparer.Section{Title: set.title}
		for i, seed := range set.seeds {
			s.Pairs = append(s.Pairs, paircomparer.Pair{Site: "lab", Day: name, Seed: seed, Base: labOutcome(base[i]), With: labOutcome(with[i])})
		}
		sections = append(sections, s)
	}
	return c.write(env, name+" without "+gates.String(), sections)
}
